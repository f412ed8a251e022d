import { runExperiment } from '../src/experiments/runExperiment';
import { USER_PROFILES } from '../src/experiments/userProfile';
import type { Workload } from '../src/experiments/workload';
import { planWorkload } from '../src/experiments/workload';

const plan = (load: number, seed: number): Workload =>
  planWorkload({
    profile: USER_PROFILES.consortium,
    load,
    durationMilliseconds: 2_400_000,
    seed,
  });

test('the same seed gives the same programs, another seed different ones', () => {
  expect(plan(0.5, 1)).toEqual(plan(0.5, 1));
  expect(plan(0.5, 1).programs).not.toEqual(plan(0.5, 2).programs);
});

test.each([1, 2, 3, 4])('programs generate the requested load, seed %i', (seed) => {
  expect(Math.abs(plan(0.9, seed).offeredLoad - 0.9)).toBeLessThan(0.02);
});

test('the flooding organisation is cut to its rate', () => {
  expect(plan(0.9, 1).refusedOverRate).toBeGreaterThan(0);
});

test('a run answers every program, and is the same each time', async () => {
  const profile = USER_PROFILES.authority;
  const workload = planWorkload({ profile, load: 0.4, durationMilliseconds: 30_000, seed: 6 });
  const run = () => runExperiment({ profile, policy: { kind: 'limpetnotch' }, workload, seed: 6 });
  const figures = await run();
  const counted = workload.programs.filter(({ startMilliseconds }) => startMilliseconds >= 1_500);
  expect(figures.programs).toBe(counted.length);
  expect(await run()).toEqual(figures);
}, 20_000);

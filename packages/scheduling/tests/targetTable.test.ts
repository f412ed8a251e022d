import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import fc from 'fast-check';
import { TargetTable } from '../src/targetTable';
import { configuration, settings } from './fixtures';

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

const table = (count: number): TargetTable => {
  const targets = Object.fromEntries(
    Array.from({ length: count }, (_, index) => [`target-${index}`, { window: 8 }]),
  );
  const created = new TargetTable({
    instance: 'instance-1',
    settings: settings(),
    logger: silentLogger,
    metrics: new MemoryMetrics(),
  });
  created.applyConfiguration(configuration({ targets }));
  return created;
};

const ejected = (targets: TargetTable): number =>
  targets.views().filter(({ health }) => health.state().kind === 'ejected').length;

test('never ejects more than the cap', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 12 }),
      fc.array(fc.tuple(fc.nat({ max: 11 }), fc.nat({ max: 3_000 })), { maxLength: 200 }),
      (count, failures) => {
        const targets = table(count);
        failures.forEach(([index, wait]) => {
          const view = targets.view(`target-${index % count}`);
          if (view) targets.recordFailure(view);
          jest.advanceTimersByTime(wait);
          const cap = count < 2 ? 0 : Math.max(1, Math.floor(count * 0.34));
          expect(ejected(targets)).toBeLessThanOrEqual(cap);
        });
      },
    ),
    { seed: 6, numRuns: 50 },
  );
});

test('an ejected target recovers through probation and slow start', () => {
  const targets = table(6);
  const view = targets.view('target-0');
  if (!view) throw new Error('no target');
  for (let failure = 0; failure < 3; failure += 1) targets.recordFailure(view);
  expect(view.openSlots).toBe(0);
  jest.advanceTimersByTime(5_000);
  targets.refreshTimeDependent();
  expect(view.openSlots).toBe(1);
  targets.recordSuccess(view);
  jest.advanceTimersByTime(5_000);
  targets.refreshTimeDependent();
  expect(view.openSlots).toBe(4);
  jest.advanceTimersByTime(5_000);
  targets.refreshTimeDependent();
  expect(view.openSlots).toBe(8);
});

test('a failure in probation ejects for twice the time', () => {
  const targets = table(6);
  const view = targets.view('target-0');
  if (!view) throw new Error('no target');
  for (let failure = 0; failure < 3; failure += 1) targets.recordFailure(view);
  jest.advanceTimersByTime(5_000);
  targets.recordFailure(view);
  jest.advanceTimersByTime(9_999);
  expect(view.health.state().kind).toBe('ejected');
  jest.advanceTimersByTime(1);
  expect(view.health.state().kind).toBe('probation');
});

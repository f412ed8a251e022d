import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';
import type {
  CappedTargetsOptions,
  CappedTargetsResult,
} from '../src/capped-target/runCappedTargets';
import { runCappedTargets } from '../src/capped-target/runCappedTargets';
import type { PlannedFault } from '../src/signal-soak/soakFault';

const ROOT = resolve(__dirname, '../../..');
const PROGRAM = resolve(ROOT, 'target/main.js');
const SETUP_MILLISECONDS = 120_000;
const CONCURRENT_RUNS = 3;
/** Targets 0 to 3 are plain services, 4 to 7 are engines. */
const PLAIN_TARGETS = [0, 1, 2, 3];
const ENGINE_TARGETS = [4, 5, 6, 7];

interface Case extends Pick<CappedTargetsOptions, 'route' | 'callers' | 'faults'> {
  readonly name: string;
  readonly seconds: number;
}

const limit = (
  targets: readonly number[],
  requestsPerSecond: number | undefined,
  atMilliseconds = 1_000,
): readonly PlannedFault[] =>
  targets.map((target) => ({
    atMilliseconds,
    fault: { kind: 'target-limit', target, requestsPerSecond },
  }));

const ONE_OF_FOUR = 'one target of four';

const CASES: readonly Case[] = [
  { name: ONE_OF_FOUR, route: 'safe', callers: 24, seconds: 9, faults: limit([0], 2) },
  {
    name: 'all targets, below one a second for each instance',
    route: 'safe-twice',
    callers: 24,
    seconds: 9,
    faults: limit(PLAIN_TARGETS, 1),
  },
  {
    name: 'a limit that falls',
    route: 'unsafe',
    callers: 24,
    seconds: 15,
    faults: [...limit(PLAIN_TARGETS, 12), ...limit(PLAIN_TARGETS, 2, 4_000)],
  },
  {
    name: 'turns of programs',
    route: 'turn',
    callers: 24,
    seconds: 9,
    faults: limit(ENGINE_TARGETS, 3),
  },
  {
    name: 'streams, with an instance killed',
    route: 'stream-twice',
    callers: 24,
    seconds: 12,
    faults: [
      ...limit(ENGINE_TARGETS, 4),
      { atMilliseconds: 5_000, fault: { kind: 'signal', instance: 1, signal: 'SIGKILL' } },
    ],
  },
];

const results = new Map<string, CappedTargetsResult>();

beforeAll(async () => {
  await promisify(execFile)(process.execPath, ['deploy/bundle.mjs'], { cwd: ROOT });
  for (let first = 0; first < CASES.length; first += CONCURRENT_RUNS) {
    await Promise.all(
      CASES.slice(first, first + CONCURRENT_RUNS).map(async ({ name, ...options }) => {
        results.set(name, await runCappedTargets({ ...options, program: PROGRAM }));
      }),
    );
  }
}, SETUP_MILLISECONDS);

// Requests above the limit that a target named were sent by all instances as before.
test.each(CASES)('a target gets no more requests than its limit allows: $name', ({ name }) => {
  expect(results.get(name)?.limitedArrivals).toBeGreaterThan(0);
  expect(results.get(name)?.excesses).toEqual([]);
});

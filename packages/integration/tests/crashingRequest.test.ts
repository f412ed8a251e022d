import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';
import type { RepeatedRequest } from '../src/crashing-request/repeatingCaller';
import type {
  CrashingRequestOptions,
  CrashingRequestResult,
} from '../src/crashing-request/runCrashingRequest';
import { runCrashingRequest } from '../src/crashing-request/runCrashingRequest';

const ROOT = resolve(__dirname, '../../..');
const PROGRAM = resolve(ROOT, 'target/main.js');
const SETUP_MILLISECONDS = 120_000;
const SECONDS = 14;
const CONCURRENT_RUNS = 3;

/** The platform's limit for runs that start more than 3 s after the third crash. */
const MAXIMUM_LATE_RUNS = 3;
/** Three crashes, and as many more as the limit allows. */
const MAXIMUM_LOST_TARGETS = 6;
/** By then, every target that the request crashed has restarted and is registered. */
const RECOVERY_MILLISECONDS = 6_000;

interface Case extends Pick<CrashingRequestOptions, 'route' | 'faults'> {
  readonly name: string;
}

const killAll = [0, 1, 2, 3].map((instance) => ({
  afterMilliseconds: 4_000,
  fault: { kind: 'signal', instance, signal: 'SIGKILL' } as const,
}));

const CASES: readonly Case[] = [
  { name: 'a safe request', route: 'safe-twice' },
  { name: 'an unsafe request', route: 'unsafe' },
  { name: 'a stream', route: 'stream-twice' },
  { name: 'a turn of a program', route: 'turn' },
  { name: 'a safe request, all instances killed', route: 'safe-twice', faults: killAll },
];

const describeOutcome = ({ record: { outcome } }: RepeatedRequest): string =>
  outcome.kind === 'answered' ? `answered ${outcome.status}` : outcome.kind;

const results = new Map<string, CrashingRequestResult>();

beforeAll(async () => {
  await promisify(execFile)(process.execPath, ['deploy/bundle.mjs'], { cwd: ROOT });
  for (let first = 0; first < CASES.length; first += CONCURRENT_RUNS) {
    await Promise.all(
      CASES.slice(first, first + CONCURRENT_RUNS).map(async ({ name, ...options }) => {
        const result = await runCrashingRequest({ ...options, seconds: SECONDS, program: PROGRAM });
        results.set(name, result);
      }),
    );
  }
}, SETUP_MILLISECONDS);

test.each(CASES)('a request that crashes its targets is refused: $name', ({ name }) => {
  const result = results.get(name);
  expect(result?.runs.length).toBeGreaterThanOrEqual(3);
  expect(result?.lateRuns.length).toBeLessThanOrEqual(MAXIMUM_LATE_RUNS);
  expect(result?.runs.length).toBeLessThanOrEqual(MAXIMUM_LOST_TARGETS);
});

test.each(CASES)(
  'a request that crashes its targets leaves targets to others: $name',
  ({ name }) => {
    const { ordinary = [], thirdCrashAt = Infinity } = results.get(name) ?? {};
    const later = ordinary.filter(
      ({ record }) => record.beganAt > thirdCrashAt + RECOVERY_MILLISECONDS,
    );
    const failed = later.map(describeOutcome).filter((end) => end !== 'answered 200');
    expect(later.length).toBeGreaterThan(0);
    expect(failed).toEqual([]);
  },
);

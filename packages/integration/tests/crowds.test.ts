import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';
import { READINESS_PATH } from '@limpetnotch/stand-ins';
import { CROWD_PATTERNS, UNREAD_ANSWERS } from '../src/crowds/crowdPatterns';
import type { CrowdResult } from '../src/crowds/runCrowd';
import { runCrowd } from '../src/crowds/runCrowd';

const ROOT = resolve(__dirname, '../../..');
const PROGRAM = resolve(ROOT, process.env.ENTRY_PROGRAM ?? 'target/main.js');
const SETUP_MILLISECONDS = 60_000;
const CROWD_MILLISECONDS = 90_000;

const BYTES_PER_MEGABYTE = 1_000_000;

/** The smallest machines have this memory. */
const LIMITS = {
  memoryMb: 186,
  fileDescriptors: 96,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 3_000,
} as const;

const PLACES = [
  { name: 'a route', port: 'entry', place: { path: '/order/1', isValid: true } },
  { name: 'a path without a route', port: 'entry', place: { path: '/none/1', isValid: false } },
  {
    name: 'the readiness address',
    port: 'readiness',
    place: { path: READINESS_PATH, isValid: false },
  },
] as const;

const CASES = PLACES.flatMap((place) =>
  CROWD_PATTERNS.map((pattern) => ({ ...place, pattern, crowd: pattern.name })),
);

const checkResult = ({
  isRunning,
  peakBytes,
  descriptors,
  isServing,
  output,
}: CrowdResult): void => {
  if (process.env.CROWD_FIGURES) {
    const megabytes = Math.round(peakBytes / BYTES_PER_MEGABYTE);
    process.stderr.write(`${expect.getState().currentTestName}: ${megabytes} MB, ${descriptors}\n`);
  }
  expect({ isRunning, output: isRunning ? '' : output }).toEqual({ isRunning: true, output: '' });
  expect(peakBytes).toBeLessThan(LIMITS.memoryMb * BYTES_PER_MEGABYTE);
  expect(descriptors).toBeLessThan(LIMITS.fileDescriptors);
  expect(isServing).toBe(true);
};

beforeAll(async () => {
  if (process.env.ENTRY_PROGRAM) return;
  await promisify(execFile)(process.execPath, ['deploy/bundle.mjs'], { cwd: ROOT });
}, SETUP_MILLISECONDS);

// Callers that hold requests open used memory and descriptors without a bound, up to the end of the
// process.
test.each(CASES)(
  'an instance outlives $crowd at $name',
  async ({ pattern, place, port }) => {
    checkResult(await runCrowd({ program: PROGRAM, pattern, place, port, limits: LIMITS }));
  },
  CROWD_MILLISECONDS,
);

test(
  `an instance outlives ${UNREAD_ANSWERS.name}`,
  async () => {
    const [{ place }] = PLACES;
    const options = { program: PROGRAM, pattern: UNREAD_ANSWERS, place, limits: LIMITS };
    checkResult(await runCrowd({ ...options, port: 'entry' }));
  },
  CROWD_MILLISECONDS,
);

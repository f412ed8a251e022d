import { execFile } from 'node:child_process';
import { resolve } from 'node:path';
import { promisify } from 'node:util';
import { REGRESSION_SERIES } from '../src/signal-soak/regressionSeries';
import { runSignalSoak } from '../src/signal-soak/runSignalSoak';
import type { SoakResult } from '../src/signal-soak/soakResult';

const ROOT = resolve(__dirname, '../../..');
const PROGRAM = resolve(ROOT, 'target/main.js');
const SETUP_MILLISECONDS = 90_000;
const SOAK_MILLISECONDS = 60_000;
const GRACE_SECONDS = 5;
/** Each series runs two processes of the program. */
const CONCURRENT_SERIES = 5;

const results = new Map<string, SoakResult>();

const formatViolations = (result: SoakResult | undefined): readonly string[] | undefined =>
  result?.violations.map(({ check, lifetime, text }) => `${check} ${lifetime}: ${text}`);

beforeAll(async () => {
  await promisify(execFile)(process.execPath, ['deploy/bundle.mjs'], { cwd: ROOT });
  const options = { instances: 2, graceSeconds: GRACE_SECONDS, program: PROGRAM };
  for (let first = 0; first < REGRESSION_SERIES.length; first += CONCURRENT_SERIES) {
    const batch = REGRESSION_SERIES.slice(first, first + CONCURRENT_SERIES);
    await Promise.all(
      batch.map(async ({ name, ...series }) => {
        results.set(name, await runSignalSoak({ ...options, ...series }));
      }),
    );
  }
}, SETUP_MILLISECONDS);

test.each(REGRESSION_SERIES)('signal soak: $name', ({ name }) => {
  const result = results.get(name);
  expect(result?.exchanges.length).toBeGreaterThan(0);
  expect(formatViolations(result)).toEqual([]);
});

test(
  'signal soak: drawn from a seed',
  async () => {
    const options = { seed: 1, seconds: 12, instances: 4, graceSeconds: GRACE_SECONDS };
    const result = await runSignalSoak({ ...options, program: PROGRAM });
    expect(result.exchanges.length).toBeGreaterThan(0);
    expect(formatViolations(result)).toEqual([]);
  },
  SOAK_MILLISECONDS,
);

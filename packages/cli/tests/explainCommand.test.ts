import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { runTestCli } from './runTestCli';

const line = (seconds: number, message: string, fields: object, instance = 'entry-1'): string => {
  const time = new Date(1_700_000_000_000 + seconds * 1_000).toISOString();
  return JSON.stringify({ time, level: 'info', message, instance, ...fields });
};

const LOG = [
  line(1, 'configuration.read', { version: 7, isNewer: true }),
  line(2, 'configuration.read', { version: 8, isNewer: true }),
  line(3, 'store.watch-lost', { prefix: 'servers/', detail: 'read ECONNRESET' }),
  line(3, 'store.watch-lost', { prefix: 'op/', detail: 'other' }, 'entry-2'),
  // A collector may put its own text before the line, or cut it.
  `   4.1 entry-1 ${line(4, 'quota.refused', {
    request: 'request-1',
    program: 'program-1',
    reason: 'programs-need-the-rate',
    perSecond: 31,
  })}`,
  line(4, 'call.refused', { request: 'request-1', refusal: 'over-rate', program: 'program-1' }),
  line(5, 'call.served', { request: 'request-2', program: 'program-1', target: 't', events: 8 }),
  line(6, 'call.attempt-ended', { request: 'request-3', target: 't', outcome: 'stalled' }),
  line(6, 'call.redispatched', {
    request: 'request-3',
    target: 'u',
    mayHaveRunAt: 't',
    maximumTargets: 2,
  }),
  line(7, 'call.given-up', { request: 'request-3', reason: 'silent' }),
  line(7, 'call.refused', { request: 'request-3', refusal: 'outcome-unknown' }),
  line(6, 'call.refused', {
    request: 'request-5',
    refusal: 'outcome-unknown',
    reason: 'shutting down',
  }),
  line(6, 'call.cut-off', {
    request: 'request-4',
    hasAnswerBegun: true,
    ageMilliseconds: 5_100,
    sinceStopMilliseconds: 7_000,
  }),
  line(3, 'quarantine.crash-noted', {
    request: 'request-6',
    digest: 'd6',
    target: 't',
    evidence: 'connection-refused',
    ranMilliseconds: 5,
    underWay: 1,
    stage: 'quarantined',
  }),
  line(8, 'call.refused', {
    request: 'request-7',
    refusal: 'quarantined',
    digest: 'd6',
    crashes: 't@1 5000 ms ago',
  }),
  '{"time":"2023-11-14T22:13:25.000Z","message":"call.ser',
];

let folder = '';
let file = '';

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'explain-'));
  file = join(folder, 'entry-1.log');
  await writeFile(file, LOG.join('\n'));
});

afterEach(() => rm(folder, { recursive: true }));

test('a refused request is told with its cause', async () => {
  const { exitCode, stdout } = await runTestCli(['explain', 'request-1', file]);
  expect(exitCode).toBe(0);
  expect(stdout).toContain("Cause: programs under way need all of the organisation's rate");
  expect(stdout).toContain('perSecond=31');
  expect(stdout).not.toContain('request-2');
});

test('a request that was sent again is told with its targets', async () => {
  const { stdout } = await runTestCli(['explain', 'request-3', file]);
  expect(stdout).toContain('sent again to target u (t may have run it, 2 may)');
  expect(stdout).toContain('given up: silent');
});

test('a quarantined request is told with the crashes of others of its content', async () => {
  const { stdout } = await runTestCli(['explain', 'request-7', file]);
  expect(stdout).toContain('target t crashed 5 ms after it got the request, with 1 under way');
  expect(stdout).toContain('Cause: targets crashed that ran a request of the same content');
});

test('a request that a shutdown ended is told apart from a failed target', async () => {
  const refused = await runTestCli(['explain', 'request-5', file]);
  expect(refused.stdout).toContain('the instance shut down before the target had answered');
  const cutOff = await runTestCli(['explain', 'request-4', file]);
  expect(cutOff.stdout).toContain('cut off by a shutdown 7000 ms after its signal');
});

test('beliefs are the latest of the instance itself', async () => {
  const { stdout } = await runTestCli(['explain', 'request-1', file]);
  expect(stdout).toContain('version=8');
  expect(stdout).not.toContain('version=7');
  expect(stdout).toContain('prefix=servers/');
  expect(stdout).not.toContain('detail=other');
});

test('a program is told with all its requests', async () => {
  const { stdout } = await runTestCli(['explain', 'program-1', file, '--json']);
  const { lines } = JSON.parse(stdout) as { lines: readonly unknown[] };
  expect(lines).toHaveLength(3);
});

test('an unknown request is said to be in no line', async () => {
  const { exitCode, stderr } = await runTestCli(['explain', 'nowhere', file]);
  expect(exitCode).toBe(1);
  expect(stderr).toContain('no line of the logs names nowhere');
});

test('a file that is not there is a wrong usage', async () => {
  const { exitCode, stderr } = await runTestCli(['explain', 'request-1', join(folder, 'none')]);
  expect(exitCode).toBe(2);
  expect(stderr).toContain("the logs can't be read");
});

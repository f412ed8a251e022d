import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { runTestCli } from './runTestCli';

const FAULTY_DECLARATIONS = `kind: organisation
name: amman
spec: { rate: { requestsPerSecond: -1, burst: 5 } }
---
kind: organisation
name: amman
spec: { rate: { requestsPerSecond: 1, burst: 5 } }
---
kind: key
name: stray
spec: { organisation: nobody, digest: 'sha256:${'a'.repeat(64)}' }
---
kind: budget
name: one
spec: { parent: two }
---
kind: budget
name: two
spec: { parent: one }
`;

let folder = '';

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'declarations-'));
});
afterEach(() => rm(folder, { recursive: true }));

test('names a dangling reference, a duplicate, a cycle and a negative rate', async () => {
  await writeFile(join(folder, 'set.yaml'), FAULTY_DECLARATIONS);
  const { exitCode, stderr } = await runTestCli(['check', folder]);
  expect(exitCode).toBe(1);
  for (const problem of [
    'set.yaml:3: organisation/amman: impossible-limit',
    'set.yaml:5: organisation/amman: duplicate-name',
    'set.yaml:11: key/stray: dangling-reference',
    'set.yaml:13: budget/one: budget-cycle',
  ]) {
    expect(stderr).toContain(problem);
  }
  expect(stderr).toContain('4 faults; nothing was published');
});

test('gives the faults as JSON', async () => {
  await writeFile(join(folder, 'set.yaml'), FAULTY_DECLARATIONS);
  const { stdout } = await runTestCli(['check', folder, '--json']);
  const { error } = JSON.parse(stdout) as { error: { kind: string; faults: unknown[] } };
  expect(error.kind).toBe('faults');
  expect(error.faults).toHaveLength(4);
});

test.each([['consortium'], ['authority']])('accepts examples/%s', async (name) => {
  const example = join(__dirname, '..', '..', '..', 'examples', name);
  const { exitCode, stdout } = await runTestCli(['check', example]);
  expect(stdout).toContain('organisation  8');
  expect(exitCode).toBe(0);
});

test.each([
  [['check'], 'Not enough positional arguments'],
  [['chekc', 'x'], 'Command not found'],
  [['check', '/nowhere/at/all'], "<folder> /nowhere/at/all can't be read"],
  [['rollback', 'old'], '<revision> is "old": must be a whole number from 1'],
  [['status'], '--store (LIMPETNOTCH_STORE) is missing: must be one or more addresses'],
  [['status', '--store', 'tcp://x'], '--store (LIMPETNOTCH_STORE) is "tcp://x": must be one or'],
  [['publish', 'x', '--base=-1'], '--base (LIMPETNOTCH_BASE) is "-1": must be a revision'],
  [['program', 'show', 'x'], '--key (LIMPETNOTCH_KEY) is missing'],
  [['quarantine', 'list', '--operator-token', 'marker'], '(not shown): must be 16 to 512'],
])('%j is wrong usage', async (words, message) => {
  const { exitCode, stderr, stdout } = await runTestCli(words);
  expect(stderr).toContain(message);
  expect(stderr + stdout).not.toContain('marker');
  expect(exitCode).toBe(2);
});

test('shows help with examples', async () => {
  const { exitCode, stdout } = await runTestCli(['publish', '--help']);
  expect(stdout).toContain('limpetnotch publish examples/consortium --base 0');
  expect(exitCode).toBe(0);
});

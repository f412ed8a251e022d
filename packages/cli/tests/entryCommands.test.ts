import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { runTestCli } from './runTestCli';
import type { CliRun } from './runTestCli';

const OPERATOR_TOKEN = 'operator-token-0123';
const UNREACHABLE_ADDRESS = 'http://127.0.0.1:1';

const PROGRAM = {
  program: { organisation: 'amman-panels', path: 'survey-17' },
  startedAtMilliseconds: 0,
  history: [
    { route: 'chat', outcome: { kind: 'answered', answer: { status: 200 }, usage: { tokens: 7 } } },
  ],
  limits: { tokens: 100 },
  spent: { tokens: 7, calls: 1, spendMicros: 0 },
};

const RESPONSES: Readonly<Record<string, unknown>> = {
  'GET /limpetnotch/v1/programs/survey-17': PROGRAM,
  'DELETE /limpetnotch/v1/programs/survey-17?organisation=amman-panels': null,
  'GET /limpetnotch/v1/quarantine': [
    {
      requestDigest: 'd1',
      organisation: 'amman-panels',
      route: 'chat',
      crashes: [{ target: 'engine-1', atMilliseconds: 1 }],
      expiresAtMilliseconds: 2,
    },
  ],
  'DELETE /limpetnotch/v1/quarantine/d1': { lifted: true },
  'DELETE /limpetnotch/v1/quarantine/d2': { lifted: false },
};

let server: Server;
let receivedRequests: string[] = [];

const runWithEntry = (...commandArguments: string[]): Promise<CliRun> => {
  const { port } = server.address() as AddressInfo;
  return runTestCli(commandArguments, {
    LIMPETNOTCH_ENTRY: `${UNREACHABLE_ADDRESS},http://127.0.0.1:${port}`,
    LIMPETNOTCH_OPERATOR_TOKEN: OPERATOR_TOKEN,
  });
};

beforeEach(async () => {
  receivedRequests = [];
  server = createServer((request, response) => {
    const name = `${request.method} ${request.url}`;
    receivedRequests.push(`${name} ${request.headers.authorization}`);
    const answer = RESPONSES[name];
    response.statusCode = answer === undefined ? 404 : 200;
    const problem = { title: 'Not found', detail: 'no such program', executed: 'no' };
    response.end(JSON.stringify(answer === undefined ? problem : answer));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
});
afterEach(
  () =>
    new Promise((resolve) => {
      server.close(resolve);
    }),
);

test('shows a program with the key, from the first entry that responds', async () => {
  const { exitCode, stdout } = await runWithEntry(
    'program',
    'show',
    'survey-17',
    '--key',
    'example-key',
  );
  expect(stdout).toContain('program survey-17 of amman-panels: running');
  expect(stdout).toMatch(/0 +chat +answered +200 +7/);
  expect(receivedRequests).toEqual(['GET /limpetnotch/v1/programs/survey-17 Bearer example-key']);
  expect(exitCode).toBe(0);
});

test('ends a program as an operator', async () => {
  const words = ['program', 'end', 'survey-17', '--organisation', 'amman-panels'];
  expect(await runWithEntry(...words)).toMatchObject({ exitCode: 0 });
  expect(receivedRequests).toEqual([
    `DELETE /limpetnotch/v1/programs/survey-17?organisation=amman-panels Bearer ${OPERATOR_TOKEN}`,
  ]);
});

test('shows the reason for a refusal', async () => {
  const { exitCode, stderr } = await runWithEntry(
    'program',
    'show',
    'other',
    '--key',
    'example-key',
  );
  expect(stderr).toContain('answered 404: Not found: no such program');
  expect(exitCode).toBe(1);
});

test('lists and lifts quarantined requests', async () => {
  expect((await runWithEntry('quarantine', 'list')).stdout).toMatch(
    /d1 +amman-panels +chat +engine-1/,
  );
  expect(await runWithEntry('quarantine', 'lift', 'd1')).toMatchObject({ exitCode: 0 });
  const stderr = 'd2 is not quarantined\n';
  expect(await runWithEntry('quarantine', 'lift', 'd2')).toMatchObject({ exitCode: 1, stderr });
});

test('exits with 3 when no entry responds', async () => {
  const { exitCode, stderr } = await runWithEntry(
    'quarantine',
    'list',
    '--entry',
    UNREACHABLE_ADDRESS,
  );
  expect(stderr).toContain(`${UNREACHABLE_ADDRESS} did not respond`);
  expect(exitCode).toBe(3);
});

test.each([['../x'], ['a//b'], ['a?b'], ['']])('refuses the program name %j', async (name) => {
  expect(await runWithEntry('program', 'show', name, '--key', 'k')).toMatchObject({ exitCode: 2 });
  expect(await runWithEntry('program', 'show', 'survey-17')).toMatchObject({ exitCode: 2 });
  expect(receivedRequests).toEqual([]);
});

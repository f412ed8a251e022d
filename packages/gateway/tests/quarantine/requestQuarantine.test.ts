import type { RequestListener, ServerResponse } from 'node:http';
import { delay } from '@limpetnotch/supervision';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import type { StandInTarget } from '../support/callHarness';
import { CallHarness, SIGNED } from '../support/callHarness';

const SAFE: RouteExecution = { kind: 'idempotent' };
const UNSAFE: RouteExecution = { kind: 'at-most-once' };
const STREAM: RouteExecution = {
  kind: 'event-stream',
  isResumable: true,
  maximumGapMilliseconds: 2_000,
};

let harness = new CallHarness();
let runs: string[];

beforeEach(() => {
  harness = new CallHarness();
  runs = [];
});

afterEach(() => harness.close());

const crash = ({ server }: StandInTarget): void => {
  server.close();
  server.closeAllConnections();
};

/** Adds a target that crashes the given time after it has received a request. */
const addCrashing = async (id: string, milliseconds = 0): Promise<void> => {
  const target: StandInTarget = await harness.addTarget(id, () => {
    runs.push(id);
    setTimeout(() => crash(target), milliseconds);
  });
};

const addAll = (ids: readonly string[], add: (id: string) => Promise<unknown>): Promise<unknown> =>
  Promise.all(ids.map(add));

const answer: RequestListener = (_request, response) => {
  response.writeHead(200, SIGNED).end('ok');
};

test('a request that crashed three targets is refused without being run', async () => {
  await addAll(['t0', 't1', 't2', 't3'], (id) => addCrashing(id));
  const route = { execution: UNSAFE, maximumTargets: 1 };
  const statuses = [];
  for (let sent = 0; sent < 5; sent += 1) statuses.push((await harness.run(route)).status);
  expect(statuses).toEqual([502, 502, 502, 503, 503]);
  expect(runs).toHaveLength(3);
});

test('the refusal of a quarantined request names the digest and no retry time', async () => {
  await addAll(['t0', 't1', 't2'], (id) => addCrashing(id));
  for (let sent = 0; sent < 3; sent += 1) await harness.run({ execution: UNSAFE });
  const { result, body, milliseconds } = await harness.run({ execution: UNSAFE });
  expect(result).toMatchObject({ kind: 'refused', refusal: { kind: 'quarantined' } });
  expect(JSON.parse(body)).toMatchObject({ error: 'quarantined', digest: expect.any(String) });
  expect(result).not.toHaveProperty('refusal.retryAfterSeconds');
  expect(milliseconds).toBeLessThan(1_000);
});

test('an idempotent request is not retried after two crashes', async () => {
  await addAll(['t0', 't1', 't2', 't3'], (id) => addCrashing(id));
  const { status } = await harness.run({ execution: SAFE, maximumTargets: 2 });
  expect(status).toBe(502);
  expect(runs).toHaveLength(2);
});

test('a request with another path is not blamed', async () => {
  await addAll(['t0', 't1', 't2'], (id) => addCrashing(id));
  for (let sent = 0; sent < 3; sent += 1) await harness.run({ execution: UNSAFE });
  await harness.addTarget('sound', answer);
  expect((await harness.run({ execution: UNSAFE })).status).toBe(503);
  const other = await harness.run({ execution: UNSAFE }, 'r1', { pathAndQuery: '/other' });
  expect(other.status).toBe(200);
});

test('a request that a target has served is cleared', async () => {
  await addCrashing('t0');
  await harness.run({ execution: UNSAFE });
  await harness.addTarget('sound', answer);
  expect((await harness.run({ execution: UNSAFE })).status).toBe(200);
  expect(harness.logLines.map(([message]) => message)).toContain('quarantine.cleared');
});

test('many requests interrupted by one crash are all served by other targets', async () => {
  harness.connectionLimit = 16;
  await addCrashing('t0', 100);
  const requests = Array.from({ length: 6 }, (_, index) =>
    harness.run({ execution: SAFE, maximumTargets: 2 }, 'r1', { pathAndQuery: `/${index}` }),
  );
  await delay(50);
  await addAll(['t1', 't2'], (id) => harness.addTarget(id, answer));
  const views = await Promise.all(requests);
  expect(views.map(({ status }) => status)).toEqual(Array(6).fill(200));
  const noted = harness.logLines.filter(([message]) => message === 'quarantine.crash-noted');
  expect(noted.map(([, fields]) => fields?.stage)).toEqual(Array(6).fill('noted'));
});

test('long streams in progress during three crashes are not blamed', async () => {
  const streams: ServerResponse[] = [];
  const stream: RequestListener = (_request, response) => {
    runs.push('stream');
    response.writeHead(200, SIGNED);
    response.write(`id: ${runs.length}\ndata: x\n\n`);
    streams.push(response);
  };
  for (let crashes = 0; crashes < 3; crashes += 1) {
    const target = await harness.addTarget(`t${crashes}`, stream);
    const view = harness.run({ execution: STREAM, maximumTargets: 1 });
    await delay(1_200);
    crash(target);
    await view;
  }
  const sound: RequestListener = (_request, response) => {
    response.writeHead(200, SIGNED).end('id: 9\ndata: x\n\n');
  };
  await harness.addTarget('sound', sound);
  const view = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect(view).toMatchObject({ status: 200, isWhole: true });
}, 15_000);

test('a harmless request that is always in flight is served while targets crash', async () => {
  const WORK_MILLISECONDS = 50;
  const CRASH_MILLISECONDS = 140;
  const TARGETS = 4;
  const LAPSE_CRASHES = 2;
  const work: RequestListener = (request, response) => {
    setTimeout(() => answer(request, response), WORK_MILLISECONDS);
  };
  const targets: StandInTarget[] = [];
  for (let index = 0; index < TARGETS; index += 1) {
    targets.push(await harness.addTarget(`t${index}`, work));
  }
  const withdraw = (id: string): void => harness.fleet.targets.remove(id);
  let isFinished = false;
  const crashing = (async () => {
    for (let crashes = 0; !isFinished; crashes += 1) {
      await delay(CRASH_MILLISECONDS);
      const [oldest] = targets.splice(0, 1);
      if (oldest) crash(oldest);
      // The announcement of a crashed target lapses later.
      withdraw(`t${crashes - LAPSE_CRASHES}`);
      targets.push(await harness.addTarget(`t${TARGETS + crashes}`, work));
    }
  })();
  const statuses = [];
  for (let sent = 0; sent < 100; sent += 1) {
    statuses.push((await harness.run({ execution: SAFE, maximumTargets: 2 })).status);
  }
  isFinished = true;
  await crashing;
  const givenUp = harness.logLines.flatMap(([message, fields]) =>
    message === 'call.given-up' ? `${fields?.runs} runs: ${fields?.reason}` : [],
  );
  // Three broken connections in a row end a call regardless of its request.
  expect(givenUp.filter((reason) => !reason.startsWith('3 runs'))).toEqual([]);
  expect(statuses.filter((status) => status !== 200)).toHaveLength(givenUp.length);
}, 30_000);

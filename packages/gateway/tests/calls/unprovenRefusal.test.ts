import type { RequestListener } from 'node:http';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { BUDGETED_TURN } from '../support/budgetedTurn';
import { CallHarness, SIGNED } from '../support/callHarness';

const AT_MOST_ONCE: RouteExecution = { kind: 'at-most-once' };

const STREAM: RouteExecution = {
  kind: 'event-stream',
  isResumable: false,
  maximumGapMilliseconds: 200,
};

const RESUMABLE: RouteExecution = { ...STREAM, isResumable: true };

/** Statuses that callers take for the statement that a request has not run. */
const STATUSES = [408, 429, 503] as const;

const CASES = STATUSES.flatMap((status) =>
  [AT_MOST_ONCE, STREAM].map((execution) => ({ status, execution, kind: execution.kind })),
);

let harness = new CallHarness();
let runs = 0;

beforeEach(() => {
  harness = new CallHarness();
  runs = 0;
});

afterEach(() => harness.close());

/** Runs a request, and then answers with a status of its own. */
const runAndAnswer =
  (status: number, body = ''): RequestListener =>
  (_request, response) => {
    runs += 1;
    response.writeHead(status, SIGNED).end(body);
  };

const decline: RequestListener = (_request, response) => {
  response.writeHead(503, { ...SIGNED, 'x-not-run': '1' }).end();
};

const findLogFields = (message: string) =>
  harness.logLines.find(([logged]) => logged === message)?.[1];

// Callers sent an order again after such a status, and it ran twice.
test.each(CASES)('a status $status of a target that has run $kind is withheld', async (each) => {
  await harness.addTarget('t0', runAndAnswer(each.status, 'busy'));
  await harness.addTarget('t1', runAndAnswer(each.status, 'busy'));
  const view = await harness.run({ execution: each.execution });
  expect(view).toMatchObject({ status: 502, isWhole: true });
  expect(view.body).not.toContain('busy');
  expect(runs).toBe(1);
  const tags = { status: String(each.status) };
  expect(harness.metrics.counter('call.unproven-refusals', tags)).toBe(1);
});

test('the log tells from the request why a status was withheld', async () => {
  await harness.addTarget('t0', runAndAnswer(503));
  await harness.run({ execution: AT_MOST_ONCE });
  const detail = 'status 503 without a statement of the target that the request has not run';
  expect(findLogFields('call.attempt-ended')).toMatchObject({
    request: 'r1',
    target: 't0',
    outcome: 'unproven-refusal',
    status: 503,
    detail,
  });
  expect(findLogFields('call.given-up')).toMatchObject({ request: 'r1', reason: detail });
});

test.each(STATUSES)(
  'a status %d to a request that may be repeated is passed on',
  async (status) => {
    await harness.addTarget('t0', runAndAnswer(status, 'busy'));
    for (const execution of [{ kind: 'idempotent' }, RESUMABLE] as const) {
      expect(await harness.run({ execution })).toMatchObject({ status, body: 'busy' });
    }
  },
);

test.each([400, 402, 404, 409, 500, 502, 504])(
  'a status %d, which does not deny a run, is passed on',
  async (status) => {
    await harness.addTarget('t0', runAndAnswer(status, 'failed'));
    expect(await harness.run({ execution: AT_MOST_ONCE })).toMatchObject({
      status,
      body: 'failed',
    });
  },
);

// A turn that is answered 402 must not have run, though its route allows repeats.
test.each([STREAM, RESUMABLE])(
  'a target that has run a turn can not deny it by 402',
  async (each) => {
    await harness.addTarget('t0', runAndAnswer(402));
    const { status } = await harness.run(
      { execution: each, maximumTargets: 1 },
      'r1',
      BUDGETED_TURN,
    );
    expect(status).toBe(502);
  },
);

test('a turn that a target answers with 402 is served by another target', async () => {
  await harness.addTarget('t0', runAndAnswer(402));
  await harness.addTarget('t1', runAndAnswer(200, 'data: a\n\n'));
  for (let turn = 0; turn < 4; turn += 1) {
    const { status } = await harness.run(
      { execution: RESUMABLE, maximumTargets: 2 },
      'r1',
      BUDGETED_TURN,
    );
    expect(status).toBe(200);
  }
});

test('a request that a target states not to have run is sent to another one', async () => {
  await harness.addTarget('t0', decline);
  await harness.addTarget('t1', runAndAnswer(200, 'served'));
  for (let order = 0; order < 4; order += 1) {
    const view = await harness.run({ execution: AT_MOST_ONCE, maximumTargets: 1 });
    expect(view).toMatchObject({ status: 200, body: 'served' });
  }
});

test('a request that all targets state not to have run is refused with 503', async () => {
  await harness.addTarget('t0', decline);
  await harness.addTarget('t1', decline);
  const { status, result } = await harness.run({ execution: AT_MOST_ONCE });
  expect(status).toBe(503);
  expect(result).toMatchObject({ refusal: { retryAfterSeconds: expect.any(Number) } });
});

test('a request that was declined and then run with a status of refusal is not repeated', async () => {
  await harness.addTarget('t0', decline);
  await harness.addTarget('t1', runAndAnswer(503));
  for (let order = 1; order <= 4; order += 1) {
    expect((await harness.run({ execution: AT_MOST_ONCE })).status).toBe(502);
    expect(runs).toBe(order);
  }
});

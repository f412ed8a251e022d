import type { RequestListener, ServerResponse } from 'node:http';
import type { Dispatcher } from 'undici';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { Exchange } from '../../src/targets/exchange';
import type { FleetTarget } from '../../src/targets/fleetTarget';
import type { TargetRequest } from '../../src/targets/targetRequest';
import { TargetConnections } from '../../src/targets/targetConnections';
import type { StandInTarget } from '../support/callHarness';
import { CallHarness, SIGNED } from '../support/callHarness';

const STREAM: RouteExecution = {
  kind: 'event-stream',
  isResumable: true,
  maximumGapMilliseconds: 200,
};

/** Well under the deadline of a call, and over twice the silence after which a target is lost. */
const EARLY_MILLISECONDS = 3_000;

/** Over twice the silence after which a target may be given up. */
const LONG_SILENCE_MILLISECONDS = 1_600;

/** Connections of which those of the second dispatch and later ones can't be opened. */
class UnreachableConnections extends TargetConnections {
  #dispatches = 0;

  readonly #code: string;

  constructor(code: string) {
    super();
    this.#code = code;
  }

  override send(target: FleetTarget, limit: number, request: TargetRequest): Exchange {
    return this.#fail() ?? super.send(target, limit, request);
  }

  override sendAlone(target: FleetTarget, request: TargetRequest): Exchange {
    return this.#fail() ?? super.sendAlone(target, request);
  }

  #fail(): Exchange | undefined {
    this.#dispatches += 1;
    if (this.#dispatches === 1) return undefined;
    const exchange = new Exchange();
    const error = Object.assign(new Error('no connection'), { code: this.#code });
    exchange.onResponseError({} as Dispatcher.DispatchController, error);
    return exchange;
  }
}

/** What the first target that is asked does with a request. */
type Step = (context: {
  readonly id: string;
  readonly target: StandInTarget;
  readonly response: ServerResponse;
  readonly after: number;
}) => void;

const serve: Step = ({ response, after }) => {
  response.writeHead(200, SIGNED);
  response.end(`id: ${after + 1}\ndata: ${after + 1}\n\n`);
};

const stayingSilent: Step = () => undefined;

const breaking: Step = ({ response }) => response.socket?.destroy();

const declining: Step = ({ response }) => {
  response.writeHead(503, { 'x-not-run': '1' });
  response.end();
};

const ending: Step = ({ target, response }) => {
  target.server.close();
  response.socket?.destroy();
};

const oneEventThenSilent: Step = ({ response, after }) => {
  response.writeHead(200, SIGNED);
  response.write(`id: ${after + 1}\ndata: ${after + 1}\n\n`);
};

let harness = new CallHarness();

/** Adds targets of which the first one asked follows the steps; all others serve. */
const addTargets = async (count: number, steps: readonly Step[]): Promise<readonly string[]> => {
  const dispatchedIds: string[] = [];
  const targets = new Map<string, StandInTarget>();
  const createHandler =
    (id: string): RequestListener =>
    (request, response) => {
      dispatchedIds.push(id);
      const after = Number(request.headers['x-after']);
      const step = steps[Math.min(dispatchedIds.length, steps.length) - 1];
      const run = dispatchedIds[0] === id && step ? step : serve;
      run({ id, target: targets.get(id)!, response, after });
    };
  for (let index = 0; index < count; index += 1) {
    const id = `t${index}`;
    targets.set(id, await harness.addTarget(id, createHandler(id)));
  }
  return dispatchedIds;
};

const getExcessCount = (): number => harness.metrics.counter('call.target-bound-exceeded');

beforeEach(() => {
  harness = new CallHarness();
});

afterEach(() => harness.close());

test('a request that a target leaves unanswered goes on at that target', async () => {
  const dispatchedIds = await addTargets(3, [stayingSilent, serve]);
  const { status, body } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect([status, body]).toEqual([200, 'id: 1\ndata: 1\n\n']);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a request whose target stays silent is given up before its deadline', async () => {
  const dispatchedIds = await addTargets(3, [stayingSilent]);
  const { status, milliseconds } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect(status).toBe(502);
  expect(milliseconds).toBeLessThan(EARLY_MILLISECONDS);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a stream that falls silent goes on at the same target', async () => {
  const dispatchedIds = await addTargets(3, [oneEventThenSilent, serve]);
  const { body, isWhole } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect([body, isWhole]).toEqual(['id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n', true]);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a stream that has begun waits for its silent target until its deadline', async () => {
  const dispatchedIds = await addTargets(3, [oneEventThenSilent, stayingSilent]);
  const { body, isWhole, milliseconds } = await harness.run({
    execution: STREAM,
    maximumTargets: 1,
    timeoutMilliseconds: EARLY_MILLISECONDS,
  });
  expect([body, isWhole]).toEqual(['id: 1\ndata: 1\n\n', false]);
  expect(milliseconds).toBeGreaterThan(EARLY_MILLISECONDS - 100);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a stream that has begun goes on after a long silence at the repeat', async () => {
  const servingLate: Step = (context) => {
    setTimeout(() => serve(context), LONG_SILENCE_MILLISECONDS);
  };
  const dispatchedIds = await addTargets(3, [oneEventThenSilent, servingLate]);
  const { body, isWhole } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect([body, isWhole]).toEqual(['id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n', true]);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a stream that may not be sent again waits for its silent target', async () => {
  const oneEventThenLate: Step = (context) => {
    oneEventThenSilent(context);
    setTimeout(() => context.response.end('id: 2\ndata: 2\n\n'), LONG_SILENCE_MILLISECONDS);
  };
  const dispatchedIds = await addTargets(2, [oneEventThenLate]);
  const { body, isWhole } = await harness.run({
    execution: { ...STREAM, isResumable: false },
    maximumTargets: 1,
  });
  expect([body, isWhole]).toEqual(['id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n', true]);
  expect([dispatchedIds.length, getExcessCount()]).toEqual([1, 0]);
});

test('two targets that fall silent are all that a bound of two allows', async () => {
  const dispatchedIds: string[] = [];
  for (const id of ['t0', 't1', 't2']) await harness.addTarget(id, () => dispatchedIds.push(id));
  const { status } = await harness.run({ execution: STREAM, maximumTargets: 2 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([502, 2, 0]);
});

test.each(['UND_ERR_CONNECT_TIMEOUT', 'ECONNRESET', 'EHOSTUNREACH'])(
  'a target that broke off and answers %s keeps its place',
  async (code) => {
    await harness.close();
    harness = new CallHarness(new UnreachableConnections(code));
    const dispatchedIds = await addTargets(3, [breaking]);
    const { status, milliseconds } = await harness.run({
      execution: { kind: 'idempotent' },
      maximumTargets: 1,
    });
    expect([status, dispatchedIds.length, getExcessCount()]).toEqual([502, 1, 0]);
    expect(milliseconds).toBeLessThan(EARLY_MILLISECONDS);
    const dispatched = harness.lines.filter(([message]) => message === 'call.redispatched');
    expect(new Set(dispatched.map(([, fields]) => fields?.target))).toEqual(new Set(dispatchedIds));
  },
);

test('a target that resets a new connection gets new requests still', async () => {
  await harness.close();
  harness = new CallHarness(new UnreachableConnections('ECONNRESET'));
  await addTargets(1, [breaking]);
  await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect(harness.fleet.targets.serving('s')).toHaveLength(1);
});

test('a target that broke off and refuses connections does not count any more', async () => {
  const dispatchedIds = await addTargets(2, [ending]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 2, 0]);
});

test('a leaving target that broke off and has closed its listener keeps its place', async () => {
  const leavingAndClosing: Step = (context) => {
    harness.announce(context.id, context.target.address, 'leaving');
    ending(context);
  };
  const dispatchedIds = await addTargets(2, [leavingAndClosing]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, dispatchedIds.length, getExcessCount()]).toEqual([502, 1, 0]);
});

test('a silent target that has closed its listener keeps its place', async () => {
  const closing: Step = ({ target }) => target.server.close();
  const dispatchedIds = await addTargets(2, [closing]);
  const { status } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect([status, dispatchedIds.length, getExcessCount()]).toEqual([502, 1, 0]);
});

test('a target whose address answers as another one does not count any more', async () => {
  const misdirecting: Step = ({ response }) => {
    response.writeHead(421);
    response.end();
  };
  const dispatchedIds = await addTargets(2, [breaking, misdirecting]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 2, 0]);
});

test('a leaving target that broke off is asked again', async () => {
  const breakingAndLeaving: Step = (context) => {
    harness.announce(context.id, context.target.address, 'leaving');
    breaking(context);
  };
  const dispatchedIds = await addTargets(3, [breakingAndLeaving, serve]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 1, 0]);
});

test('a target that broke off when its announcement lapsed is asked again', async () => {
  const breakingAndLapsing: Step = (context) => {
    harness.fleet.targets.remove(context.id);
    breaking(context);
  };
  const dispatchedIds = await addTargets(3, [breakingAndLapsing, serve]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 1, 0]);
});

test('a target that left long ago is not asked again and keeps its place', async () => {
  const leavingAndBreakingLater: Step = (context) => {
    harness.announce(context.id, context.target.address, 'leaving');
    setTimeout(() => breaking(context), 1_200);
  };
  const dispatchedIds = await addTargets(3, [leavingAndBreakingLater, serve]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, dispatchedIds.length, getExcessCount()]).toEqual([502, 1, 0]);
});

test('a target that broke off and is full is asked again', async () => {
  const dispatchedIds = await addTargets(3, [breaking, declining, serve]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 1, 0]);
});

test('a target that broke off and stays full is given up before the deadline', async () => {
  const dispatchedIds = await addTargets(3, [breaking, declining]);
  const { status, milliseconds } = await harness.run({
    execution: { kind: 'idempotent' },
    maximumTargets: 1,
  });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([502, 1, 0]);
  expect(milliseconds).toBeLessThan(EARLY_MILLISECONDS);
});

test('a declined dispatch leaves the place to another target', async () => {
  const dispatchedIds = await addTargets(3, [declining]);
  const { status } = await harness.run({ execution: { kind: 'at-most-once' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 2, 0]);
});

test('a dispatch that opened no connection leaves the place to another target', async () => {
  const dispatchedIds = await addTargets(2, []);
  const [gone] = harness.fleet.targets.serving('s');
  harness.announce(gone!.id, '127.0.0.1:1', 'serving');
  const { status } = await harness.run({ execution: { kind: 'at-most-once' }, maximumTargets: 1 });
  expect([status, dispatchedIds.length, getExcessCount()]).toEqual([200, 1, 0]);
});

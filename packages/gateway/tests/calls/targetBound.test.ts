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

/** Well under the deadline of a call; over twice the inactivity after which a target is lost. */
const EARLY_MILLISECONDS = 3_000;

/** Over twice the inactivity after which a target may be given up. */
const LONG_INACTIVITY_MILLISECONDS = 1_600;

/** Fails to open the connections of the second and all later dispatches. */
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

  override sendOnNewConnection(target: FleetTarget, request: TargetRequest): Exchange {
    return this.#fail() ?? super.sendOnNewConnection(target, request);
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

/** How the target that gets the first request handles a request. */
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

const hang: Step = () => undefined;

const disconnect: Step = ({ response }) => response.socket?.destroy();

const decline: Step = ({ response }) => {
  response.writeHead(503, { 'x-not-run': '1' });
  response.end();
};

const closeAndDisconnect: Step = ({ target, response }) => {
  target.server.close();
  response.socket?.destroy();
};

const sendOneEventThenStall: Step = ({ response, after }) => {
  response.writeHead(200, SIGNED);
  response.write(`id: ${after + 1}\ndata: ${after + 1}\n\n`);
};

let harness = new CallHarness();

/**
 * Adds targets. The one that gets the first request follows the steps; all others serve. Returns
 * the ids of the targets that got requests, in order.
 */
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

test('a request that a target leaves unanswered is repeated at that target', async () => {
  const dispatchedIds = await addTargets(3, [hang, serve]);
  const { status, body } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect([status, body]).toEqual([200, 'id: 1\ndata: 1\n\n']);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a request whose target stays unresponsive is given up before its deadline', async () => {
  const dispatchedIds = await addTargets(3, [hang]);
  const { status, milliseconds } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect(status).toBe(502);
  expect(milliseconds).toBeLessThan(EARLY_MILLISECONDS);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a stream that stalls resumes at the same target', async () => {
  const dispatchedIds = await addTargets(3, [sendOneEventThenStall, serve]);
  const { body, isWhole } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect([body, isWhole]).toEqual(['id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n', true]);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a started stream waits for its unresponsive target until its deadline', async () => {
  const dispatchedIds = await addTargets(3, [sendOneEventThenStall, hang]);
  const { body, isWhole, milliseconds } = await harness.run({
    execution: STREAM,
    maximumTargets: 1,
    timeoutMilliseconds: EARLY_MILLISECONDS,
  });
  expect([body, isWhole]).toEqual(['id: 1\ndata: 1\n\n', false]);
  expect(milliseconds).toBeGreaterThan(EARLY_MILLISECONDS - 100);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a started stream continues after a long stall of the repeat', async () => {
  const serveLate: Step = (context) => {
    setTimeout(() => serve(context), LONG_INACTIVITY_MILLISECONDS);
  };
  const dispatchedIds = await addTargets(3, [sendOneEventThenStall, serveLate]);
  const { body, isWhole } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect([body, isWhole]).toEqual(['id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n', true]);
  expect([new Set(dispatchedIds).size, getExcessCount()]).toEqual([1, 0]);
});

test('a stream that may not be dispatched again waits for its unresponsive target', async () => {
  const sendSecondEventLate: Step = (context) => {
    sendOneEventThenStall(context);
    setTimeout(() => context.response.end('id: 2\ndata: 2\n\n'), LONG_INACTIVITY_MILLISECONDS);
  };
  const dispatchedIds = await addTargets(2, [sendSecondEventLate]);
  const { body, isWhole } = await harness.run({
    execution: { ...STREAM, isResumable: false },
    maximumTargets: 1,
  });
  expect([body, isWhole]).toEqual(['id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n', true]);
  expect([dispatchedIds.length, getExcessCount()]).toEqual([1, 0]);
});

test('a maximum of two allows no third target after two unresponsive ones', async () => {
  const dispatchedIds: string[] = [];
  for (const id of ['t0', 't1', 't2']) await harness.addTarget(id, () => dispatchedIds.push(id));
  const { status } = await harness.run({ execution: STREAM, maximumTargets: 2 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([502, 2, 0]);
});

test.each(['UND_ERR_CONNECT_TIMEOUT', 'ECONNRESET', 'EHOSTUNREACH'])(
  'a target that disconnected and then fails with %s still counts',
  async (code) => {
    await harness.close();
    harness = new CallHarness(new UnreachableConnections(code));
    const dispatchedIds = await addTargets(3, [disconnect]);
    const { status, milliseconds } = await harness.run({
      execution: { kind: 'idempotent' },
      maximumTargets: 1,
    });
    expect([status, dispatchedIds.length, getExcessCount()]).toEqual([502, 1, 0]);
    expect(milliseconds).toBeLessThan(EARLY_MILLISECONDS);
    const dispatched = harness.logLines.filter(([message]) => message === 'call.redispatched');
    expect(new Set(dispatched.map(([, fields]) => fields?.target))).toEqual(new Set(dispatchedIds));
  },
);

test('a target that resets a new connection still gets new requests', async () => {
  await harness.close();
  harness = new CallHarness(new UnreachableConnections('ECONNRESET'));
  await addTargets(1, [disconnect]);
  await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect(harness.fleet.targets.getServing('s')).toHaveLength(1);
});

test('a target that disconnected and refuses connections no longer counts', async () => {
  const dispatchedIds = await addTargets(2, [closeAndDisconnect]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 2, 0]);
});

test('a leaving target that disconnected and closed its listener still counts', async () => {
  const leaveAndClose: Step = (context) => {
    harness.announce(context.id, context.target.address, 'leaving');
    closeAndDisconnect(context);
  };
  const dispatchedIds = await addTargets(2, [leaveAndClose]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, dispatchedIds.length, getExcessCount()]).toEqual([502, 1, 0]);
});

test('an unresponsive target that closed its listener still counts', async () => {
  const closeListener: Step = ({ target }) => target.server.close();
  const dispatchedIds = await addTargets(2, [closeListener]);
  const { status } = await harness.run({ execution: STREAM, maximumTargets: 1 });
  expect([status, dispatchedIds.length, getExcessCount()]).toEqual([502, 1, 0]);
});

test('a target whose address now belongs to another one no longer counts', async () => {
  const misdirect: Step = ({ response }) => {
    response.writeHead(421);
    response.end();
  };
  const dispatchedIds = await addTargets(2, [disconnect, misdirect]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 2, 0]);
});

test('a request is repeated at a leaving target that disconnected', async () => {
  const leaveAndDisconnect: Step = (context) => {
    harness.announce(context.id, context.target.address, 'leaving');
    disconnect(context);
  };
  const dispatchedIds = await addTargets(3, [leaveAndDisconnect, serve]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 1, 0]);
});

test('a request is repeated at a target that disconnected when its announcement expired', async () => {
  const expireAndDisconnect: Step = (context) => {
    harness.fleet.targets.remove(context.id);
    disconnect(context);
  };
  const dispatchedIds = await addTargets(3, [expireAndDisconnect, serve]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 1, 0]);
});

test('a request is not repeated at a target that left long ago, which still counts', async () => {
  const leaveAndDisconnectLater: Step = (context) => {
    harness.announce(context.id, context.target.address, 'leaving');
    setTimeout(() => disconnect(context), 1_200);
  };
  const dispatchedIds = await addTargets(3, [leaveAndDisconnectLater, serve]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, dispatchedIds.length, getExcessCount()]).toEqual([502, 1, 0]);
});

test('a request is repeated at a target that disconnected and is full', async () => {
  const dispatchedIds = await addTargets(3, [disconnect, decline, serve]);
  const { status } = await harness.run({ execution: { kind: 'idempotent' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 1, 0]);
});

test('a target that disconnected and stays full is given up before the deadline', async () => {
  const dispatchedIds = await addTargets(3, [disconnect, decline]);
  const { status, milliseconds } = await harness.run({
    execution: { kind: 'idempotent' },
    maximumTargets: 1,
  });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([502, 1, 0]);
  expect(milliseconds).toBeLessThan(EARLY_MILLISECONDS);
});

test('a declined dispatch does not count towards the maximum of targets', async () => {
  const dispatchedIds = await addTargets(3, [decline]);
  const { status } = await harness.run({ execution: { kind: 'at-most-once' }, maximumTargets: 1 });
  expect([status, new Set(dispatchedIds).size, getExcessCount()]).toEqual([200, 2, 0]);
});

test('a dispatch that opened no connection does not count towards the maximum of targets', async () => {
  const dispatchedIds = await addTargets(2, []);
  const [gone] = harness.fleet.targets.getServing('s');
  harness.announce(gone!.id, '127.0.0.1:1', 'serving');
  const { status } = await harness.run({ execution: { kind: 'at-most-once' }, maximumTargets: 1 });
  expect([status, dispatchedIds.length, getExcessCount()]).toEqual([200, 1, 0]);
});

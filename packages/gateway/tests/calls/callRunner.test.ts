import { once } from 'node:events';
import type { RequestListener } from 'node:http';
import type { RouteExecution } from '../../src/configuration/fleetConfiguration';
import { Exchange } from '../../src/targets/exchange';
import type { FleetTarget } from '../../src/targets/fleetTarget';
import type { TargetRequest } from '../../src/targets/targetRequest';
import { TargetConnections } from '../../src/targets/targetConnections';
import type { CallerView } from '../support/callHarness';
import { CallHarness, SIGNED } from '../support/callHarness';

/** Never gives the first requests a connection, so that they wait until they are given up. */
class WaitingConnections extends TargetConnections {
  #waiting: number;

  constructor(waiting: number) {
    super();
    this.#waiting = waiting;
  }

  override send(target: FleetTarget, limit: number, request: TargetRequest): Exchange {
    this.#waiting -= 1;
    return this.#waiting >= 0 ? new Exchange() : super.send(target, limit, request);
  }
}

let harness = new CallHarness();

beforeEach(() => {
  harness = new CallHarness();
});

afterEach(() => harness.close());

/** Runs one call through a real caller connection against the given targets. */
const run = async (execution: RouteExecution, targets: RequestListener[]): Promise<CallerView> => {
  for (const [index, handle] of targets.entries()) await harness.addTarget(`t${index}`, handle);
  return harness.run({ execution });
};

const STREAM: RouteExecution = {
  kind: 'event-stream',
  isResumable: true,
  maximumGapMilliseconds: 200,
};

test('an interrupted stream resumes at its next event', async () => {
  let runs = 0;
  const handle: RequestListener = (request, response) => {
    runs += 1;
    response.writeHead(200, SIGNED);
    if (runs > 1) {
      const after = Number(request.headers['x-after']);
      response.end(`id: ${after + 1}\ndata: b\n\n`);
      return;
    }
    response.write('id: 1\ndata: a\n\nid: 2\nda');
    setTimeout(() => response.destroy(), 20);
  };
  const { result, body } = await run(STREAM, [handle]);
  expect(result).toEqual({ kind: 'delivered', status: 200 });
  expect(body).toBe('id: 1\ndata: a\n\nid: 2\ndata: b\n\n');
});

/** Writes the text and disconnects in its first run; writes the rest of the stream later. */
const disconnectAfter = (text: string): RequestListener => {
  let runs = 0;
  return (_request, response) => {
    runs += 1;
    response.writeHead(200, SIGNED);
    if (runs > 1) {
      response.end('id: 2\ndata: b\n\n');
      return;
    }
    response.write(text);
    setTimeout(() => response.destroy(), 20);
  };
};

test.each([
  'data: a\n\n',
  'id:\ndata: a\n\n',
  'id: 1\ndata: a\n\ndata: b\n\n',
  'id: 1\ndata: a\n\ndata: b\n\n: still here\n\n',
])('a stream that is interrupted after %j is not dispatched again', async (text) => {
  const { body, isWhole } = await run(STREAM, [disconnectAfter(text)]);
  expect([body, isWhole]).toEqual([text, false]);
});

test.each([
  'data: 0\n\nid: 1\ndata: a\n\n',
  'id: 1\ndata: a\n\n: still here\n\n',
  ': still here\n\n',
])('a stream that is interrupted after %j resumes', async (text) => {
  const { body, isWhole } = await run(STREAM, [disconnectAfter(text)]);
  expect([body, isWhole]).toEqual([`${text}id: 2\ndata: b\n\n`, true]);
});

test('a request that may have run is not dispatched again', async () => {
  let runs = 0;
  const handle: RequestListener = (request) => {
    runs += 1;
    request.socket.destroy();
  };
  const { status } = await run({ kind: 'at-most-once' }, [handle, handle]);
  expect(status).toBe(502);
  expect(runs).toBe(1);
});

test('a declined request is dispatched to another target', async () => {
  const declining: RequestListener = (_request, response) => {
    response.writeHead(503, { 'x-not-run': '1' });
    response.end();
  };
  let runs = 0;
  const serving: RequestListener = (_request, response) => {
    runs += 1;
    response.writeHead(200, SIGNED);
    response.end('done');
  };
  const { status, body } = await run({ kind: 'at-most-once' }, [declining, serving]);
  expect([status, body, runs]).toEqual([200, 'done', 1]);
});

test('a request that all targets decline is refused as not run', async () => {
  const declining: RequestListener = (_request, response) => {
    response.writeHead(503, { 'x-not-run': '1' });
    response.end();
  };
  const { status, result } = await run({ kind: 'at-most-once' }, [declining, declining]);
  expect(status).toBe(503);
  expect(result).toMatchObject({ kind: 'refused', refusal: { kind: 'unavailable' } });
});

test.each([
  ['another request', { 'x-id': 'other', 'x-signed': '1' }],
  ['the request without a signature', { 'x-id': 'r1' }],
])('a response to %s is not delivered', async (_name, headers) => {
  const handle: RequestListener = (_request, response) => {
    response.writeHead(200, headers);
    response.end('foreign');
  };
  const { status, body } = await run({ kind: 'at-most-once' }, [handle]);
  expect(status).toBe(502);
  expect(body).not.toContain('foreign');
});

test('a response that ends early is not delivered as complete', async () => {
  const handle: RequestListener = (_request, response) => {
    response.writeHead(200, { ...SIGNED, 'content-length': '10' });
    response.write('half');
    setTimeout(() => response.destroy(), 20);
  };
  const { status } = await run({ kind: 'at-most-once' }, [handle]);
  expect(status).toBe(502);
});

test('a request that breaks its targets runs at most three times', async () => {
  let runs = 0;
  const handle: RequestListener = (request) => {
    runs += 1;
    request.socket.destroy();
  };
  const { status } = await run({ kind: 'idempotent' }, [handle, handle, handle, handle]);
  expect(status).toBe(502);
  expect(runs).toBe(3);
});

test('a redispatch is logged with the targets that may have run the request', async () => {
  let runs = 0;
  const handle: RequestListener = (request, response) => {
    runs += 1;
    if (runs === 1) {
      request.socket.destroy();
      return;
    }
    response.writeHead(200, SIGNED);
    response.end('done');
  };
  await run({ kind: 'idempotent' }, [handle]);
  expect(harness.logLines).toContainEqual([
    'call.redispatched',
    expect.objectContaining({
      request: 'r1',
      dispatch: 2,
      target: 't0',
      after: 'broken',
      mayHaveRunAt: 't0',
      ended: '',
      maximumTargets: 2,
      isResumed: false,
    }),
  ]);
});

test('a target that restarts at a new address under its id gets requests there', async () => {
  const serving: RequestListener = (_request, response) => {
    response.writeHead(200, SIGNED);
    response.end('done');
  };
  const first = await harness.addTarget('t1', serving);
  expect((await harness.run({})).status).toBe(200);
  first.server.closeAllConnections();
  const closed = once(first.server, 'close');
  first.server.close();
  await closed;
  await harness.addTarget('t1', serving);
  expect((await harness.run({})).status).toBe(200);
});

const UNSAFE_STREAM: RouteExecution = { ...STREAM, isResumable: false };

const oneEvent: RequestListener = (_request, response) => {
  response.writeHead(200, SIGNED);
  response.end('id: 1\ndata: a\n\n');
};

test('a stream that never got a connection is refused as not sent', async () => {
  await harness.close();
  harness = new CallHarness(new WaitingConnections(Infinity));
  const { status, result } = await run(UNSAFE_STREAM, [oneEvent]);
  expect(status).toBe(503);
  expect(result).toMatchObject({ kind: 'refused', refusal: { kind: 'unavailable' } });
});

test('a stream that never got a connection is dispatched to another target', async () => {
  await harness.close();
  harness = new CallHarness(new WaitingConnections(1));
  const { status, body } = await run(UNSAFE_STREAM, [oneEvent, oneEvent]);
  expect([status, body]).toEqual([200, 'id: 1\ndata: a\n\n']);
});

test('a request that is given up is logged with the number of its runs', async () => {
  const handle: RequestListener = (request) => request.socket.destroy();
  await run({ kind: 'at-most-once' }, [handle]);
  expect(harness.logLines).toContainEqual([
    'call.given-up',
    expect.objectContaining({ request: 'r1', after: 'broken', mayHaveRunAt: 't0', runs: 1 }),
  ]);
});

test('a request within its maximum of targets is not counted as exceeding it', async () => {
  const handle: RequestListener = (request) => request.socket.destroy();
  await run({ kind: 'idempotent' }, [handle, handle, handle]);
  expect(harness.metrics.counter('call.target-bound-exceeded')).toBe(0);
});

test('a target that responded while the instance was paused is not unresponsive', async () => {
  let runs = 0;
  const handle: RequestListener = (_request, response) => {
    runs += 1;
    response.writeHead(200, SIGNED);
    response.end('id: 1\ndata: a\n\n');
    const until = performance.now() + 1_500;
    while (performance.now() < until);
  };
  const { status, body } = await run(STREAM, [handle, handle]);
  expect([status, body, runs]).toEqual([200, 'id: 1\ndata: a\n\n', 1]);
});

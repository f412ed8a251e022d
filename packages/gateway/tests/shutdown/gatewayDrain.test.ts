import { once } from 'node:events';
import type { RequestListener, ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { QuotaDecision } from '../../src/quotas/quotaGate';
import { DrainingInstance } from '../support/drainingInstance';
import type { DrainingInstanceOptions } from '../support/drainingInstance';
import { KeepAliveConnection } from '../support/keepAliveConnection';

const SIGNED = { 'x-signed': '1' };

/** Longer than any test, so that only the test itself ends a drain early. */
const LONG_GRACE_MILLISECONDS = 30_000;

/**
 * More than the kernel's socket buffers hold, and less than the size limit of a target's response.
 */
const LARGE_BYTES = 12 * 1024 * 1024;

const instances: DrainingInstance[] = [];
const callers: KeepAliveConnection[] = [];

afterEach(async () => {
  callers.splice(0).forEach((caller) => caller.close());
  await Promise.all(instances.splice(0).map((instance) => instance.close()));
});

const startInstance = async (options: DrainingInstanceOptions): Promise<DrainingInstance> => {
  const instance = await DrainingInstance.start(options);
  instances.push(instance);
  return instance;
};

const connectCaller = ({ port }: DrainingInstance): KeepAliveConnection => {
  const caller = new KeepAliveConnection(port);
  callers.push(caller);
  return caller;
};

/** Responds to requests immediately, but withholds the responses to ids that begin with `held`. */
class WithholdingTarget {
  readonly #held = new Map<string, Deferred<ServerResponse>>();

  readonly handle: RequestListener = (request, response) => {
    const id = String(request.headers['x-id']);
    response.writeHead(200, SIGNED);
    if (id.startsWith('held')) this.#deferred(id).resolve(response);
    else response.end('ok');
  };

  /** Resolves to the withheld response once its request has arrived. */
  held(id = 'held'): Promise<ServerResponse> {
    return this.#deferred(id).promise;
  }

  #deferred(id: string): Deferred<ServerResponse> {
    const deferred = this.#held.get(id) ?? new Deferred<ServerResponse>();
    this.#held.set(id, deferred);
    return deferred;
  }
}

/** Sends events until the connection closes or the returned function is called. */
const streamEvents = (response: ServerResponse): (() => void) => {
  let number = 0;
  const send = (): void => {
    number += 1;
    response.write(`id: ${number}\ndata: a\n\n`);
  };
  const timer = setInterval(send, 50);
  const stop = (): void => clearInterval(timer);
  response.once('close', stop);
  send();
  return stop;
};

const STREAM = {
  kind: 'event-stream',
  isResumable: true,
  maximumGapMilliseconds: 60_000,
} as const;

test('a request that may outlast the grace period is refused immediately', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({
    target: target.handle,
    // Long enough that the request arrives before its end even on a busy machine.
    times: { graceMilliseconds: 4_000, readinessLagMilliseconds: 2_000 },
  });
  const caller = connectCaller(instance);
  await caller.send({ id: 'before' });
  const shutDown = instance.shutDown();
  const outcome = await caller.send({ id: 'late', patienceMilliseconds: 60_000 });
  await shutDown;
  expect(outcome).toMatchObject({
    kind: 'answered',
    status: 503,
    headers: { connection: 'close', 'retry-after': '0' },
  });
  expect(instance.receivedRequestIds.has('late')).toBe(false);
  const line = instance.logLines.find(({ message }) => message === 'call.refused');
  expect(line).toMatchObject({ request: 'late', reason: 'shutting down' });
});

test('a request that fits into the grace period is served', async () => {
  const instance = await startInstance({
    target: new WithholdingTarget().handle,
    times: { graceMilliseconds: LONG_GRACE_MILLISECONDS },
  });
  const caller = connectCaller(instance);
  await caller.send({ id: 'before' });
  const shutDown = instance.shutDown();
  const outcome = await caller.send({ id: 'late', patienceMilliseconds: 5_000 });
  await shutDown;
  expect(outcome).toMatchObject({ status: 200, headers: { connection: 'close' }, body: 'ok' });
});

test('an idle connection closes while another one is in use', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({
    target: target.handle,
    times: { graceMilliseconds: LONG_GRACE_MILLISECONDS },
  });
  const [idle, busy] = [connectCaller(instance), connectCaller(instance)];
  await idle.send({ id: 'before' });
  const held = busy.send({ id: 'held' });
  const response = await target.held();
  const closed = once(idle.socket!, 'close').then(() => 'closed');
  const shutDown = instance.shutDown();
  const first = await Promise.race([closed, delay(2_000).then(() => 'open')]);
  response.end('ok');
  await Promise.all([held, shutDown]);
  expect(first).toBe('closed');
});

test('requests on new connections are served while another one holds the drain open', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({
    target: target.handle,
    times: { graceMilliseconds: LONG_GRACE_MILLISECONDS },
  });
  const busy = connectCaller(instance).send({ id: 'held' });
  const response = await target.held();
  const shutDown = instance.shutDown();
  // Well past the lag of the load balancer, as if no other instance accepted connections.
  await delay(300);
  const late = connectCaller(instance);
  const outcome = await late.send({ id: 'new', patienceMilliseconds: 5_000 });
  response.end('ok');
  const answer = await busy;
  await shutDown;
  expect(outcome).toMatchObject({ status: 200, headers: { connection: 'close' } });
  expect(answer).toMatchObject({ kind: 'answered', status: 200 });
  expect(await late.send({ id: 'after' })).toEqual({ kind: 'not-connected' });
});

test('a connection whose stream started before the stop signal closes after its last event', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({
    target: target.handle,
    times: { graceMilliseconds: LONG_GRACE_MILLISECONDS },
    route: { execution: STREAM },
  });
  const [first, second] = [connectCaller(instance), connectCaller(instance)];
  const outcome = first.send({ id: 'held-1' });
  void second.send({ id: 'held-2' });
  const [firstAnswer, secondAnswer] = [await target.held('held-1'), await target.held('held-2')];
  const stopEvents = streamEvents(firstAnswer);
  streamEvents(secondAnswer);
  while (instance.openCalls.all.some(({ response }) => !response.headersSent)) await delay(5);
  const shutDown = instance.shutDown();
  const closed = once(first.socket!, 'close').then(() => 'closed');
  stopEvents();
  firstAnswer.end();
  const seen = await Promise.race([closed, delay(2_000).then(() => 'open')]);
  secondAnswer.end();
  await shutDown;
  expect(seen).toBe('closed');
  expect(await outcome).toMatchObject({ kind: 'answered', status: 200 });
});

test('a request that may have run gets a final response before the process exits', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({
    target: target.handle,
    route: { execution: { kind: 'at-most-once' } },
  });
  const sent = connectCaller(instance).send({ id: 'held' });
  await target.held();
  await instance.shutDown();
  expect(await sent).toMatchObject({ kind: 'answered', status: 502 });
});

test('final responses are sent even if the process is late', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({
    target: target.handle,
    // No time is left for the responses, as after a process pause.
    times: { answerReserveMilliseconds: 400, exitReserveMilliseconds: 400 },
    route: { execution: { kind: 'at-most-once' } },
  });
  const sent = connectCaller(instance).send({ id: 'held' });
  await target.held();
  await instance.shutDown();
  expect(await sent).toMatchObject({ kind: 'answered', status: 502 });
});

test('a grace period that is shorter than the lag of the load balancer is kept', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({
    target: target.handle,
    times: { graceMilliseconds: 800, readinessLagMilliseconds: 60_000 },
    route: { execution: { kind: 'at-most-once' } },
  });
  const sent = connectCaller(instance).send({ id: 'held' });
  await target.held();
  await instance.shutDown();
  expect(await sent).toMatchObject({ kind: 'answered', status: 502 });
});

test('a request that waits for its rate at the end is refused as not run', async () => {
  const waiting = new Deferred();
  const instance = await startInstance({
    target: new WithholdingTarget().handle,
    organisations: [{ name: 'o', keys: ['k'], priority: 0, rate: { perSecond: 1, burst: 1 } }],
    route: { isOpenToAll: false },
    quotas: {
      admit: async () => ({ kind: 'admitted' }),
      take: async () => {
        waiting.resolve(undefined);
        return new Deferred<QuotaDecision>().promise;
      },
    },
  });
  const sent = connectCaller(instance).send({ id: 'r', key: 'k' });
  await waiting.promise;
  await instance.shutDown();
  expect(await sent).toMatchObject({ kind: 'answered', status: 503 });
});

test('a request whose body is still arriving at the end is refused as not run', async () => {
  const instance = await startInstance({ target: new WithholdingTarget().handle });
  const socket = connect(instance.port, '127.0.0.1');
  const received: Buffer[] = [];
  socket.on('data', (chunk) => received.push(chunk));
  const closed = once(socket, 'close');
  socket.write('POST / HTTP/1.1\r\nhost: h\r\nx-id: r\r\ncontent-length: 9\r\n\r\nhalf');
  while (instance.openCalls.size === 0) await delay(5);
  await instance.shutDown();
  await closed;
  expect(Buffer.concat(received).toString()).toMatch(/^HTTP\/1.1 503 /);
});

test('a stream that has started is cut off at the end, and does not look complete', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({ target: target.handle, route: { execution: STREAM } });
  const sent = connectCaller(instance).send({ id: 'held' });
  const response = await target.held();
  streamEvents(response);
  while (instance.openCalls.all[0]?.response.headersSent !== true) await delay(5);
  await instance.shutDown();
  expect(await sent).toEqual({ kind: 'cut-in-answer' });
  const line = instance.logLines.find(({ message }) => message === 'call.cut-off');
  expect(line).toMatchObject({ request: 'held', target: 't0', hasAnswerBegun: true });
});

test('no request is accepted between the last check and the close', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({ target: target.handle });
  const late = connectCaller(instance);
  let sent: Promise<unknown> = Promise.resolve();
  await instance.shutDown(async () => {
    sent = late.send({ id: 'held' });
    // Long enough for a request to reach its target, if it is accepted.
    await delay(100);
  });
  await sent;
  expect(instance.receivedRequestIds.has('held')).toBe(false);
});

test('a pipelined request gets a response', async () => {
  const target = new WithholdingTarget();
  const instance = await startInstance({
    target: target.handle,
    times: { graceMilliseconds: LONG_GRACE_MILLISECONDS },
  });
  const socket = connect(instance.port, '127.0.0.1');
  const received: Buffer[] = [];
  socket.on('data', (chunk) => received.push(chunk));
  const closed = once(socket, 'close');
  const head = (id: string): string =>
    `POST / HTTP/1.1\r\nhost: h\r\nx-id: ${id}\r\nx-patience: 5000\r\ncontent-length: 0\r\n\r\n`;
  socket.write(head('held') + head('second'));
  const response = await target.held();
  while (!instance.receivedRequestIds.has('second')) await delay(5);
  const shutDown = instance.shutDown();
  response.end('ok');
  await Promise.all([closed, shutDown]);
  expect(
    Buffer.concat(received)
      .toString()
      .match(/HTTP\/1.1 200/g),
  ).toHaveLength(2);
});

test('a request that waits for a retry gets its final response', async () => {
  let requestCount = 0;
  let stoppedAtMilliseconds = Infinity;
  const breakWhenDue = (response: ServerResponse): void => {
    // The retry delay then outlasts the time between the last responses and the close.
    if (performance.now() - stoppedAtMilliseconds > 970) response.socket?.destroy();
    else setTimeout(() => breakWhenDue(response), 5);
  };
  const instance = await startInstance({
    target: (_request, response) => {
      requestCount += 1;
      if (requestCount === 1) breakWhenDue(response);
      else response.writeHead(503, { 'x-not-run': '1' }).end();
    },
    times: { graceMilliseconds: 1_400 },
    route: { execution: { kind: 'idempotent' }, maximumTargets: 1 },
  });
  const sent = connectCaller(instance).send({ id: 'r' });
  while (!instance.receivedRequestIds.has('r')) await delay(5);
  stoppedAtMilliseconds = performance.now();
  await instance.shutDown();
  expect(await sent).toMatchObject({ kind: 'answered', status: 502 });
});

/** Sends one request without reading its response, which is completely written by then. */
const callWithoutReading = async (instance: DrainingInstance): Promise<Socket> => {
  const socket = connect(instance.port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.pause();
  socket.write('POST / HTTP/1.1\r\nhost: h\r\nx-id: slow\r\ncontent-length: 0\r\n\r\n');
  while (instance.openCalls.unflushed.length === 0) await delay(5);
  return socket;
};

const answerLarge: RequestListener = (_request, response) => {
  response.writeHead(200, SIGNED);
  response.end(Buffer.alloc(LARGE_BYTES, 'a'));
};

test('a drain does not cut off a response that a slow caller has not read completely', async () => {
  const instance = await startInstance({
    target: answerLarge,
    times: { graceMilliseconds: LONG_GRACE_MILLISECONDS },
  });
  const socket = await callWithoutReading(instance);
  let receivedBytes = 0;
  socket.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
  });
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  const shutDown = instance.shutDown();
  // The drain closes idle connections several times in this period.
  await delay(500);
  socket.resume();
  await Promise.all([closed, shutDown]);
  expect(receivedBytes).toBeGreaterThan(LARGE_BYTES);
  expect(instance.logLines.at(-1)).toMatchObject({
    message: 'gateway.stopped',
    served: 1,
    cutOff: 0,
  });
});

test('a response that is cut off while it leaves the process is logged and counted as such', async () => {
  const instance = await startInstance({ target: answerLarge });
  const socket = await callWithoutReading(instance);
  await instance.shutDown();
  socket.destroy();
  const cutOff = instance.logLines.filter(({ message }) => message === 'call.cut-off');
  expect(cutOff).toMatchObject([{ request: 'slow', target: 't0', hasAnswerBegun: true }]);
  expect(instance.logLines.at(-1)).toMatchObject({
    message: 'gateway.stopped',
    served: 0,
    cutOff: 1,
  });
  expect(instance.metrics.counter('drain.calls', { result: 'cut-off' })).toBe(1);
});

test('a grace period that changes during a drain does not move its end', async () => {
  const target = new WithholdingTarget();
  let graceMilliseconds = 1_200;
  const instance = await startInstance({
    target: target.handle,
    times: {
      get graceMilliseconds() {
        return graceMilliseconds;
      },
    },
  });
  const sent = connectCaller(instance).send({ id: 'held' });
  await target.held();
  const shutDown = instance.shutDown().then(() => 'ended');
  graceMilliseconds = LONG_GRACE_MILLISECONDS;
  expect(await Promise.race([shutDown, delay(4_000).then(() => 'draining')])).toBe('ended');
  expect(await sent).toMatchObject({ kind: 'answered' });
});

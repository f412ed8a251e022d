import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Deferred, delay, settleWithin } from '@limpetnotch/supervision';
import type { CallDesk } from '../../src/entry/callDesk';
import type { CallerRequest } from '../../src/entry/callerRequest';
import { EntryServer } from '../../src/http/entryServer';
import type { EntryServerOptions } from '../../src/http/entryServer';

/** More than the buffers of both sockets in the kernel take. */
const LARGE_BYTES = 32 * 1024 * 1024;

const sockets: Socket[] = [];

afterEach(() => {
  sockets.splice(0).forEach((socket) => socket.destroy());
});

const answerAtOnce = async (response: ServerResponse): Promise<void> => {
  response.end('ok');
};

/** Serves every call by a function of the test. */
const startServer = async (
  serve: (response: ServerResponse) => Promise<void>,
): Promise<EntryServer> => {
  const calls = { serve: ({ response }: CallerRequest) => serve(response) };
  return EntryServer.start({
    host: '127.0.0.1',
    port: 0,
    maximumBodyBytes: 1_024,
    calls: calls as unknown as CallDesk,
  } as unknown as EntryServerOptions);
};

interface Caller {
  readonly socket: Socket;
  readonly received: () => string;
}

const connectCaller = async (port: number): Promise<Caller> => {
  const socket = connect(port, '127.0.0.1');
  sockets.push(socket);
  const chunks: Buffer[] = [];
  socket.on('data', (chunk) => chunks.push(chunk));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return { socket, received: () => Buffer.concat(chunks).toString() };
};

const REQUEST = 'POST /call HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n';

test('stopping ends although a connection stays silent', async () => {
  const server = await startServer(answerAtOnce);
  const silent = await connectCaller(server.port);
  const closed = once(silent.socket, 'close');
  const stopped = server.stop().then(() => 'stopped');
  const first = await settleWithin(stopped, 4_000, () => 'waiting');
  silent.socket.destroy();
  await closed;
  expect(first).toBe('stopped');
});

test('stopping ends although a request never arrives whole', async () => {
  const server = await startServer(answerAtOnce);
  const { socket, received } = await connectCaller(server.port);
  const closed = once(socket, 'close');
  socket.write('POST /call HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf');
  await delay(20);
  const stopped = server.stop().then(() => 'stopped');
  const first = await settleWithin(stopped, 4_000, () => 'waiting');
  if (first === 'waiting') socket.destroy();
  await closed;
  expect(first).toBe('stopped');
  expect(received()).toMatch(/^HTTP\/1.1 503 /);
});

test('stopping waits for the answer to a call under way', async () => {
  const held = new Deferred<ServerResponse>();
  const server = await startServer(async (response) => held.resolve(response));
  const caller = await connectCaller(server.port);
  const closed = once(caller.socket, 'close');
  caller.socket.write(REQUEST);
  const response = await held.promise;
  let isStopped = false;
  const stopped = server.stop().then(() => {
    isStopped = true;
  });
  await delay(100);
  expect(isStopped).toBe(false);
  response.end('whole');
  await Promise.all([stopped, closed]);
  expect(caller.received()).toContain('whole');
});

test('a late call on an open connection is served, and its connection closes', async () => {
  const held: ServerResponse[] = [];
  const server = await startServer(async (response) => {
    if (held.length === 0) held.push(response);
    else response.end('late');
  });
  const [busy, late] = [await connectCaller(server.port), await connectCaller(server.port)];
  const closed = once(late.socket, 'close');
  busy.socket.write(REQUEST);
  while (held.length === 0) await delay(5);
  // A connection that waits for its first request is not idle for the runtime.
  const stopped = server.stop();
  late.socket.write(REQUEST);
  await closed;
  held[0]!.end('ok');
  await stopped;
  expect(late.received()).toContain('late');
  expect(late.received().toLowerCase()).toContain('connection: close');
});

const startWithLargeAnswer = async (): Promise<{
  readonly server: EntryServer;
  readonly caller: Caller;
  readonly closed: Promise<unknown>;
}> => {
  const answered = new Deferred<ServerResponse>();
  const server = await startServer(async (response) => {
    response.end(Buffer.alloc(LARGE_BYTES, 'a'));
    answered.resolve(response);
  });
  const caller = await connectCaller(server.port);
  const closed = new Promise((resolve) => {
    caller.socket.once('close', resolve);
  });
  caller.socket.pause();
  caller.socket.write(REQUEST);
  const { writableEnded, writableFinished } = await answered.promise;
  expect({ writableEnded, writableFinished }).toEqual({
    writableEnded: true,
    writableFinished: false,
  });
  return { server, caller, closed };
};

test('stopping does not cut an answer that a slow reader has not taken whole', async () => {
  const { server, caller, closed } = await startWithLargeAnswer();
  const stopped = server.stop();
  // The stop sweeps several times in that.
  await delay(300);
  caller.socket.resume();
  await Promise.all([closed, stopped]);
  expect(caller.received().length).toBeGreaterThan(LARGE_BYTES);
});

test('stopping ends although a caller never reads its answer', async () => {
  const { server } = await startWithLargeAnswer();
  jest.useFakeTimers({ doNotFake: ['nextTick', 'queueMicrotask', 'setImmediate', 'setTimeout'] });
  const stopped = server.stop().then(() => 'stopped');
  jest.advanceTimersByTime(20_000);
  jest.useRealTimers();
  const first = await settleWithin(stopped, 4_000, () => 'waiting');
  expect(first).toBe('stopped');
});

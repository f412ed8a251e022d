import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Deferred, delay, settleWithin } from '@limpetnotch/supervision';
import type { CallService } from '../../src/entry/callService';
import type { CallerRequest } from '../../src/entry/callerRequest';
import { EntryServer } from '../../src/http/entryServer';
import type { EntryServerOptions } from '../../src/http/entryServer';

/** Larger than the kernel buffers of both sockets together. */
const LARGE_BYTES = 32 * 1024 * 1024;

const sockets: Socket[] = [];

afterEach(() => {
  sockets.splice(0).forEach((socket) => socket.destroy());
});

const respondImmediately = async (response: ServerResponse): Promise<void> => {
  response.end('ok');
};

/** Starts a server that passes every call to the given function. */
const startServer = async (
  serve: (response: ServerResponse) => Promise<void>,
): Promise<EntryServer> => {
  const calls = { serve: ({ response }: CallerRequest) => serve(response) };
  return EntryServer.start({
    host: '127.0.0.1',
    port: 0,
    maximumBodyBytes: 1_024,
    calls: calls as unknown as CallService,
  } as unknown as EntryServerOptions);
};

interface Caller {
  readonly socket: Socket;
  readonly getReceivedText: () => string;
}

const connectCaller = async (port: number): Promise<Caller> => {
  const socket = connect(port, '127.0.0.1');
  sockets.push(socket);
  const chunks: Buffer[] = [];
  socket.on('data', (chunk) => chunks.push(chunk));
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return { socket, getReceivedText: () => Buffer.concat(chunks).toString() };
};

const REQUEST = 'POST /call HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n';

test('stops although a connection sends nothing', async () => {
  const server = await startServer(respondImmediately);
  const silent = await connectCaller(server.port);
  const closed = once(silent.socket, 'close');
  const stopped = server.stop().then(() => 'stopped');
  const first = await settleWithin(stopped, 4_000, () => 'waiting');
  silent.socket.destroy();
  await closed;
  expect(first).toBe('stopped');
});

test('stops although a request never arrives completely', async () => {
  const server = await startServer(respondImmediately);
  const { socket, getReceivedText: received } = await connectCaller(server.port);
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

test('waits during a stop for the response to a call in progress', async () => {
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
  expect(caller.getReceivedText()).toContain('whole');
});

test('serves a late call on an open connection and closes the connection', async () => {
  const held: ServerResponse[] = [];
  const server = await startServer(async (response) => {
    if (held.length === 0) held.push(response);
    else response.end('late');
  });
  const [busy, late] = [await connectCaller(server.port), await connectCaller(server.port)];
  const closed = once(late.socket, 'close');
  busy.socket.write(REQUEST);
  while (held.length === 0) await delay(5);
  // Node.js does not consider a connection idle while it waits for its first request.
  const stopped = server.stop();
  late.socket.write(REQUEST);
  await closed;
  held[0]!.end('ok');
  await stopped;
  expect(late.getReceivedText()).toContain('late');
  expect(late.getReceivedText().toLowerCase()).toContain('connection: close');
});

const startWithUnreadResponse = async (): Promise<{
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

test('does not cut a response at a stop that a slow caller has not read completely', async () => {
  const { server, caller, closed } = await startWithUnreadResponse();
  const stopped = server.stop();
  // Several sweeps run in this time.
  await delay(300);
  caller.socket.resume();
  await Promise.all([closed, stopped]);
  expect(caller.getReceivedText().length).toBeGreaterThan(LARGE_BYTES);
});

test('stops although a caller never reads its response', async () => {
  const { server } = await startWithUnreadResponse();
  jest.useFakeTimers({ doNotFake: ['nextTick', 'queueMicrotask', 'setImmediate', 'setTimeout'] });
  const stopped = server.stop().then(() => 'stopped');
  jest.advanceTimersByTime(20_000);
  jest.useRealTimers();
  const first = await settleWithin(stopped, 4_000, () => 'waiting');
  expect(first).toBe('stopped');
});

const MALFORMED = 'no request\r\n\r\n';

// The framework's 400, or 408 for a head that is late, reached the caller as the answer to its call.
test('bytes that are no request get no response while a call is in progress', async () => {
  const server = await startServer(async () => Promise.resolve());
  const caller = await connectCaller(server.port);
  const closed = once(caller.socket, 'close');
  caller.socket.write(`${REQUEST}${MALFORMED}`);
  await closed;
  expect(caller.getReceivedText()).toBe('');
  await server.stop();
});

test('bytes that are no request are refused on a connection without calls', async () => {
  const server = await startServer(respondImmediately);
  const caller = await connectCaller(server.port);
  const closed = once(caller.socket, 'close');
  caller.socket.write(MALFORMED);
  await closed;
  expect(caller.getReceivedText()).toMatch(/^HTTP\/1\.1 400 /);
  await server.stop();
});

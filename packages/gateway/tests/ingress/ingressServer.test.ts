import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Deferred, delay } from '@limpetnotch/supervision';
import { IngressServer } from '../../src/ingress/ingressServer';
import type { RequestHandler } from '../../src/ingress/requestHandler';

/** More than the kernel buffers of both sockets hold. */
const LARGE_BYTES = 32 * 1024 * 1024;

/** Interval of the sweeps in a drain. */
const SWEEP_MILLISECONDS = 50;

const POST_HEAD = 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ';

let server: IngressServer;
let socket: Socket;
let received = '';
let receivedBytes = 0;

const startAndConnect = async (handle: RequestHandler): Promise<void> => {
  server = await IngressServer.start({ host: '127.0.0.1', port: 0, handle });
  socket = connect(server.port, '127.0.0.1');
  received = '';
  receivedBytes = 0;
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => {
    receivedBytes += chunk.length;
    if (receivedBytes < LARGE_BYTES) received += chunk.toString('latin1');
  });
  await once(socket, 'connect');
};

const waitUntil = async (isReached: () => boolean): Promise<void> => {
  while (!isReached()) await delay(5);
};

const countOccurrences = (part: string): number => received.split(part).length - 1;

/** Reads the complete body before responding. */
const respondAfterBody: RequestHandler = async (request, response) => {
  request.resume();
  await once(request, 'end');
  response.end('ok');
};

const sweepRepeatedly = async (): Promise<void> => {
  server.stopAccepting();
  for (let sweeps = 0; sweeps < 3; sweeps += 1) {
    server.closeIdleConnections();
    await delay(SWEEP_MILLISECONDS);
  }
};

afterEach(async () => {
  socket.destroy();
  await server.stop();
});

test('a sweep keeps a connection whose slow reader has not received the complete response', async () => {
  const answered = new Deferred<ServerResponse>();
  await startAndConnect(async (_request, response) => {
    response.end(Buffer.alloc(LARGE_BYTES, 'a'));
    answered.resolve(response);
  });
  socket.pause();
  const closed = once(socket, 'close');
  socket.write(`${POST_HEAD}0\r\n\r\n`);
  const { writableEnded, writableFinished } = await answered.promise;
  expect({ writableEnded, writableFinished }).toEqual({
    writableEnded: true,
    writableFinished: false,
  });
  await sweepRepeatedly();
  expect(server.openRequests).toBe(1);
  socket.resume();
  await waitUntil(() => receivedBytes >= LARGE_BYTES || socket.destroyed);
  await waitUntil(() => server.openRequests === 0);
  server.closeIdleConnections();
  await closed;
  expect(receivedBytes).toBeGreaterThan(LARGE_BYTES);
});

test('a sweep keeps a connection on which part of the next request head has arrived', async () => {
  const reading = new Deferred<Socket>();
  await startAndConnect(async (request, response) => {
    reading.resolve(request.socket);
    await respondAfterBody(request, response);
  });
  socket.write(`${POST_HEAD}0\r\n\r\n`);
  const serverSide = await reading.promise;
  await waitUntil(() => countOccurrences('\r\n\r\nok') === 1 && server.openRequests === 0);
  const { bytesRead } = serverSide;
  socket.write(POST_HEAD);
  await waitUntil(() => serverSide.bytesRead > bytesRead);
  await sweepRepeatedly();
  socket.write('0\r\n\r\n');
  await waitUntil(() => countOccurrences('\r\n\r\nok') === 2 || socket.destroyed);
  expect(countOccurrences('\r\n\r\nok')).toBe(2);
});

test('a sweep keeps a connection whose request was answered before its body arrived', async () => {
  await startAndConnect(async (_request, response) => {
    response.end('early');
  });
  socket.write(`${POST_HEAD}4\r\n\r\nab`);
  await waitUntil(() => countOccurrences('early') === 1 && server.openRequests === 0);
  await sweepRepeatedly();
  expect(server.connectionCount).toBe(1);
  socket.write(`cd${POST_HEAD}0\r\n\r\n`);
  await waitUntil(() => countOccurrences('early') === 2 || socket.destroyed);
  expect(countOccurrences('early')).toBe(2);
});

test('a sweep keeps a connection that has sent nothing', async () => {
  await startAndConnect(respondAfterBody);
  await waitUntil(() => server.connectionCount === 1);
  await sweepRepeatedly();
  expect(server.connectionCount).toBe(1);
});

test('a sweep closes a connection that is waiting for its next request', async () => {
  await startAndConnect(respondAfterBody);
  const closed = once(socket, 'close');
  for (const count of [1, 2]) {
    socket.write(`${POST_HEAD}2\r\n\r\nab`);
    await waitUntil(() => countOccurrences('\r\n\r\nok') === count);
  }
  await waitUntil(() => server.openRequests === 0);
  await sweepRepeatedly();
  await closed;
  expect(server.connectionCount).toBe(0);
});

// The response to such bytes reached the caller as that to its request, which had run.
test('bytes that are no request get no response while a request is running', async () => {
  const running = new Deferred<ServerResponse>();
  await startAndConnect(async (request, response) => {
    request.resume();
    await once(request, 'end');
    running.resolve(response);
  });
  socket.write(`${POST_HEAD}0\r\n\r\n`);
  const response = await running.promise;
  const closed = once(socket, 'close');
  socket.write('no request\r\n\r\n');
  await delay(SWEEP_MILLISECONDS);
  response.end('ok');
  await closed;
  expect(countOccurrences('HTTP/1.1')).toBe(1);
  expect(received).toMatch(/^HTTP\/1\.1 200 OK[^]*ok/);
});

test('a request whose body is malformed is answered at once', async () => {
  await startAndConnect(respondAfterBody);
  const closed = once(socket, 'close');
  socket.write('POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nno chunk\r\n');
  await closed;
  expect(received).toMatch(/^HTTP\/1\.1 400/);
});

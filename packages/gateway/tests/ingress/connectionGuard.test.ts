import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { ConnectionGuard } from '../../src/ingress/connectionGuard';
import { IngressServer } from '../../src/ingress/ingressServer';
import type { RequestHandler } from '../../src/ingress/requestHandler';
import { OverloadGuards } from '../../src/overload/overloadGuards';
import { readBody } from '../../src/calls/readBody';

const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\ncontent-length: ';
const HEADER_BYTES = 16_384;
const TIMEOUT_MILLISECONDS = 300;
const SMALLEST_MEMORY_BYTES = 1;

let server: IngressServer;
let guard: ConnectionGuard;
let guards: OverloadGuards;
let sockets: Socket[];
let handledCount = 0;

const start = async (handle: RequestHandler, fileDescriptors = 2_048): Promise<void> => {
  guards = new OverloadGuards({
    memoryBytes: SMALLEST_MEMORY_BYTES,
    fileDescriptors,
    logger: silentLogger,
    metrics: new MemoryMetrics(),
  });
  guard = guards.callers;
  guard.setLimits({
    headerBytes: HEADER_BYTES,
    headerTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
    idleTimeoutMilliseconds: TIMEOUT_MILLISECONDS,
  });
  server = await IngressServer.start({
    host: '127.0.0.1',
    port: 0,
    guard,
    handle: async (request, response) => {
      handledCount += 1;
      await handle(request, response);
    },
  });
};

/** A connection, and all that was received on it. */
const open = async (): Promise<{ socket: Socket; received: () => string }> => {
  const socket = connect(server.port, '127.0.0.1');
  sockets.push(socket);
  let text = '';
  socket.on('error', () => undefined);
  socket.on('data', (bytes: Buffer) => {
    text += bytes.toString('latin1');
  });
  await once(socket, 'connect');
  return { socket, received: () => text };
};

const respond: RequestHandler = async (request, response) => {
  const body = await readBody(request, Infinity, guard.findUnfinished(response));
  if (body.isOk()) response.end('served');
  else if (body.error !== 'caller-gone') response.writeHead(503).end(body.error);
};

const countOf = (text: string, part: string): number => text.split(part).length - 1;

beforeEach(() => {
  sockets = [];
  handledCount = 0;
});

afterEach(async () => {
  sockets.forEach((socket) => socket.destroy());
  await server.stop();
});

const headOfBytes = (bytes: number, field: string): string => {
  const first = 'GET / HTTP/1.1\r\nhost: h\r\n';
  const count = Math.floor((bytes - first.length - 2) / field.length);
  return `${first}${field.repeat(count)}\r\n`;
};

// The runtime drops fields beyond 2,000 by default, among them the key.
test('a head of permitted size is served, whatever the size of its fields', async () => {
  await start(respond);
  const { socket, received } = await open();
  socket.write(headOfBytes(HEADER_BYTES, 'a:\r\n'));
  socket.write(headOfBytes(HEADER_BYTES, `a: ${'b'.repeat(500)}\r\n`));
  while (countOf(received(), 'served') < 2 && !socket.destroyed) await delay(5);
  expect(countOf(received(), 'served')).toBe(2);
});

test('a head above the configured size is refused and does not run', async () => {
  await start(respond);
  const { socket, received } = await open();
  socket.write(headOfBytes(HEADER_BYTES + 2_000, 'a:\r\n'));
  await once(socket, 'close');
  expect(received()).toMatch(/^HTTP\/1\.1 431 /);
  expect(handledCount).toBe(0);
});

test('a body that stops arriving is refused', async () => {
  await start(respond);
  const { socket, received } = await open();
  socket.write(`${HEAD}10\r\n\r\nabc`);
  while (received() === '' && !socket.destroyed) await delay(5);
  expect(received()).toMatch(/too-slow/);
});

test('a head that stops arriving closes its connection', async () => {
  await start(respond);
  const { socket } = await open();
  socket.write(HEAD);
  await once(socket, 'close');
  expect(handledCount).toBe(0);
});

// A target may take longer than any timeout of a connection.
test('a running request is not ended for lack of progress', async () => {
  const mayAnswer = new Deferred<undefined>();
  await start(async (request, response) => {
    await readBody(request, Infinity, guard.findUnfinished(response));
    await mayAnswer.promise;
    response.end('served');
  });
  const { socket, received } = await open();
  socket.write(`${HEAD}3\r\n\r\nabc`);
  await delay(6 * TIMEOUT_MILLISECONDS);
  mayAnswer.resolve(undefined);
  while (received() === '' && !socket.destroyed) await delay(5);
  expect(received()).toMatch(/served/);
});

test('requests pipelined without end close their connection and leave a running one whole', async () => {
  const mayAnswer = new Deferred<undefined>();
  await start(async (_request, response) => {
    await mayAnswer.promise;
    response.end('served');
  });
  const { socket, received } = await open();
  socket.write(`${HEAD}0\r\n\r\n`);
  while (handledCount === 0) await delay(5);
  socket.write(`${HEAD}0\r\n\r\n`.repeat(5_000));
  await delay(TIMEOUT_MILLISECONDS);
  mayAnswer.resolve(undefined);
  await once(socket, 'close');
  expect(countOf(received(), 'served')).toBeGreaterThan(0);
  expect(handledCount).toBeLessThan(100);
});

test('bodies beyond the memory are refused, and smaller ones are served', async () => {
  await start(respond);
  const large = await Promise.all(Array.from({ length: 8 }, open));
  large.forEach(({ socket }) => {
    socket.write(`${HEAD}4000000\r\n\r\n`);
    socket.write(Buffer.alloc(3_999_999, 'a'));
  });
  while (!large.some(({ received }) => received() !== '')) await delay(5);
  expect(guards.ledger.stoppedCount).toBeGreaterThan(0);
  const { socket, received } = await open();
  socket.write(`${HEAD}5\r\n\r\nsmall`);
  while (received() === '' && !socket.destroyed) await delay(5);
  expect(received()).toMatch(/served/);
});

test('a new caller is accepted when slow ones have all connections', async () => {
  await start(respond, 60);
  for (let index = 0; index < 20; index += 1) {
    const { socket } = await open();
    socket.write(HEAD);
  }
  const { socket, received } = await open();
  socket.write(`${HEAD}2\r\n\r\nab`);
  while (received() === '' && !socket.destroyed) await delay(5);
  expect(received()).toMatch(/served/);
  expect(server.connectionCount).toBeLessThan(15);
});

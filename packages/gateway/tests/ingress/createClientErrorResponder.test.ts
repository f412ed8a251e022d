import { once } from 'node:events';
import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { Deferred, delay } from '@limpetnotch/supervision';
import { createClientErrorResponder } from '../../src/ingress/createClientErrorResponder';
import { OpenConnections } from '../../src/ingress/openConnections';

const HEAD_TIMEOUT_MILLISECONDS = 60;

const PARTIAL_HEAD = 'POST / HTTP/1.1\r\nhost:';

let server: Server;
let socket: Socket;
let received: string;
let running: Deferred<ServerResponse>;

beforeEach(async () => {
  const connections = new OpenConnections();
  running = new Deferred();
  received = '';
  server = createServer({ connectionsCheckingInterval: 20 }, (request, response) => {
    connections.begin(request, response);
    request.resume();
    running.resolve(response);
  });
  server.headersTimeout = HEAD_TIMEOUT_MILLISECONDS;
  server.requestTimeout = 0;
  server.on('connection', (added: Socket) => connections.add(added));
  server.on('clientError', createClientErrorResponder(connections));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  socket = connect(typeof address === 'object' && address ? address.port : 0, '127.0.0.1');
  socket.on('data', (bytes: Buffer) => {
    received += bytes.toString('latin1');
  });
});

afterEach(() => {
  socket.destroy();
  server.closeAllConnections();
  server.close();
});

// The 408 denied the run of the request before.
test('a head that is not complete in time gets no 408 while a request is running', async () => {
  socket.write(`POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n${PARTIAL_HEAD}`);
  const response = await running.promise;
  await delay(3 * HEAD_TIMEOUT_MILLISECONDS);
  expect(received).toBe('');
  const closed = once(socket, 'close');
  response.end('ok');
  await closed;
  expect(received).toMatch(/^HTTP\/1\.1 200 OK[^]*ok/);
});

test('a head that is not complete in time gets 408 on a connection without requests', async () => {
  const closed = once(socket, 'close');
  socket.write(PARTIAL_HEAD);
  await closed;
  expect(received).toMatch(/^HTTP\/1\.1 408 Request Timeout\r\n/);
});

// Its targets work on otherwise, for nobody.
test('a caller that leaves within its next head ends its running request', async () => {
  socket.write(`POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 0\r\n\r\n${PARTIAL_HEAD}`);
  const response = await running.promise;
  const closed = once(response, 'close');
  socket.end();
  await closed;
  expect([response.writableEnded, received]).toEqual([false, '']);
});

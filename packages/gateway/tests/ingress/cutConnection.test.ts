import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { cutConnection } from '../../src/ingress/cutConnection';
import { IngressServer } from '../../src/ingress/ingressServer';

let server: IngressServer;

/** Returns what a caller of a version sees whose answer ends in the middle of its body. */
const viewOf = async (version: string, end: (response: ServerResponse) => void) => {
  server = await IngressServer.start({
    host: '127.0.0.1',
    port: 0,
    handle: async (_request, response) => {
      response.writeHead(200, {});
      response.write('part');
      setTimeout(() => end(response), 50);
    },
  });
  const socket = connect(server.port, '127.0.0.1');
  const view = { received: '', wasReset: false };
  socket.on('data', (chunk) => {
    view.received += String(chunk);
  });
  socket.on('error', () => {
    view.wasReset = true;
  });
  socket.write(`GET / HTTP/${version}\r\nhost: h\r\n\r\n`);
  const closed = new Promise((resolve) => {
    socket.once('close', resolve);
  });
  await closed;
  return view;
};

afterEach(() => server.stop());

const CUTS: readonly (readonly [string, (response: ServerResponse) => void])[] = [
  ['is cut', cutConnection],
  ['is open when the server closes', () => server.closeNow()],
];

test.each(CUTS)('a body without a length that %s ends with a reset', async (_name, end) => {
  const view = await viewOf('1.0', end);
  expect(view.received).toContain('part');
  expect(view.wasReset).toBe(true);
});

test.each(CUTS)('a body in chunks that %s lacks its last chunk', async (_name, end) => {
  const view = await viewOf('1.1', end);
  expect(view.received).toContain('part');
  expect(view.received).not.toContain('\r\n0\r\n');
});

test('an answer that was cut before its head closes its connection', async () => {
  server = await IngressServer.start({
    host: '127.0.0.1',
    port: 0,
    handle: async (_request, response) => cutConnection(response),
  });
  const socket = connect(server.port, '127.0.0.1');
  socket.write('GET / HTTP/1.0\r\nhost: h\r\n\r\n');
  await once(socket, 'close');
  expect(socket.bytesRead).toBe(0);
});

import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { delay } from '@limpetnotch/supervision';
import { DrainingInstance } from '../support/drainingInstance';

const HEAD = 'POST / HTTP/1.0\r\nhost: h\r\nx-id: r\r\ncontent-length: 0\r\n\r\n';

/** Time within which an event reaches the instance. */
const FIRST_EVENT_MILLISECONDS = 50;

let instance: DrainingInstance;
let socket: Socket;
let received = '';
let target: ServerResponse | undefined;

/** Whether the caller has read a successful response whose body has the declared length. */
const looksComplete = (): boolean => {
  const [head = '', body = ''] = received.split('\r\n\r\n', 2);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return head.startsWith('HTTP/1.1 200') && (length === undefined || Number(length) <= body.length);
};

/**
 * Requests a stream; resolves after its first event, with a promise that settles when the connection
 * closes.
 */
const openStream = async (): Promise<{ readonly closed: Promise<unknown> }> => {
  instance = await DrainingInstance.start({
    target: (_request, response) => {
      response.writeHead(200, { 'x-signed': '1' });
      response.write('id: 1\ndata: a\n\n');
      target = response;
    },
    route: {
      execution: { kind: 'event-stream', isResumable: false, maximumGapMilliseconds: 60_000 },
    },
  });
  target = undefined;
  received = '';
  socket = connect(instance.port, '127.0.0.1');
  socket.on('data', (chunk) => {
    received += String(chunk);
  });
  const closed = once(socket, 'close').catch(() => undefined);
  socket.write(HEAD);
  while (!target) await delay(5);
  await delay(FIRST_EVENT_MILLISECONDS);
  return { closed };
};

afterEach(() => instance.close());

test('a stream that is cut off does not look complete to an HTTP/1.0 caller', async () => {
  const { closed } = await openStream();
  await instance.shutDown();
  await closed;
  expect(looksComplete()).toBe(false);
}, 20_000);

test('a stream whose target disconnects does not look complete to an HTTP/1.0 caller', async () => {
  const { closed } = await openStream();
  target?.destroy();
  await closed;
  expect(looksComplete()).toBe(false);
});

test('a stream whose instance closes immediately does not look complete to an HTTP/1.0 caller', async () => {
  const { closed } = await openStream();
  await instance.close();
  await closed;
  expect(looksComplete()).toBe(false);
});

test('a stream that ends looks complete to an HTTP/1.0 caller', async () => {
  const { closed } = await openStream();
  target?.end('id: 2\ndata: b\n\n');
  await closed;
  expect(looksComplete()).toBe(true);
  expect(received).toMatch(/id: 1\ndata: a\n\nid: 2\ndata: b\n\n$/);
});

import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { delay } from '@limpetnotch/supervision';
import { DrainingInstance } from '../support/drainingInstance';

const HEAD = 'POST / HTTP/1.0\r\nhost: h\r\nx-id: r\r\ncontent-length: 0\r\n\r\n';

/** Time in which an event reaches the instance. */
const FIRST_EVENT_MILLISECONDS = 50;

let instance: DrainingInstance;
let socket: Socket;
let received = '';
let target: ServerResponse | undefined;

/** Whether what a caller has read is a success whose body has the length that it says. */
const looksWhole = (): boolean => {
  const [head = '', body = ''] = received.split('\r\n\r\n', 2);
  const length = /content-length: (\d+)/i.exec(head)?.[1];
  return head.startsWith('HTTP/1.1 200') && (length === undefined || Number(length) <= body.length);
};

/** Asks for a stream; resolves when its first event has come, with what ends with the connection. */
const begin = async (): Promise<{ readonly closed: Promise<unknown> }> => {
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

test('a stream that is cut does not look complete to a caller of HTTP/1.0', async () => {
  const { closed } = await begin();
  await instance.shutDown();
  await closed;
  expect(looksWhole()).toBe(false);
}, 20_000);

test('a stream whose target breaks off does not look complete to a caller of HTTP/1.0', async () => {
  const { closed } = await begin();
  target?.destroy();
  await closed;
  expect(looksWhole()).toBe(false);
});

test('a stream whose instance ends at once does not look complete to a caller of HTTP/1.0', async () => {
  const { closed } = await begin();
  await instance.close();
  await closed;
  expect(looksWhole()).toBe(false);
});

test('a stream that ends looks complete to a caller of HTTP/1.0', async () => {
  const { closed } = await begin();
  target?.end('id: 2\ndata: b\n\n');
  await closed;
  expect(looksWhole()).toBe(true);
  expect(received).toMatch(/id: 1\ndata: a\n\nid: 2\ndata: b\n\n$/);
});

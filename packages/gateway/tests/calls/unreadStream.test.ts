import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { delay } from '@limpetnotch/supervision';
import { waitUntilWritable } from '../../src/calls/waitUntilWritable';
import { DrainingInstance } from '../support/drainingInstance';

const REQUEST = 'POST / HTTP/1.1\r\nhost: h\r\nx-id: r\r\ncontent-length: 0\r\n\r\n';

const EVENT_BYTES = 64 * 1024;

/** More than the kernel's socket buffers hold. */
const STREAM_BYTES = 128 * 1024 * 1024;

/** Maximum bytes in the kernel's buffers between the target and the caller. */
const BUFFERED_BYTES = 32 * 1024 * 1024;

const EVENT_COUNT = STREAM_BYTES / EVENT_BYTES;

const formatEvent = (id: number): string => `id: ${id}\ndata: ${'a'.repeat(EVENT_BYTES)}\n\n`;

let instance: DrainingInstance;
let socket: Socket;
let targetResponse: ServerResponse | undefined;
let writtenBytes = 0;

/** Writes all events as fast as they are read. */
const writeEvents = async (response: ServerResponse): Promise<void> => {
  response.writeHead(200, { 'x-signed': '1' });
  for (let id = 1; id <= EVENT_COUNT && !response.destroyed; id += 1) {
    const event = formatEvent(id);
    writtenBytes += event.length;
    response.write(event);
    await waitUntilWritable(response, new AbortController().signal);
  }
  response.end();
};

const startInstance = async (timeoutMilliseconds: number): Promise<void> => {
  writtenBytes = 0;
  instance = await DrainingInstance.start({
    target: (_request, response) => {
      targetResponse = response;
      void writeEvents(response);
    },
    route: {
      execution: { kind: 'event-stream', isResumable: true, maximumGapMilliseconds: 200 },
      timeoutMilliseconds,
    },
  });
  socket = connect(instance.port, '127.0.0.1');
  socket.on('error', () => undefined);
  socket.pause();
  socket.write(REQUEST);
};

afterEach(async () => {
  socket.destroy();
  await instance.close();
});

test('a stream waits for a caller that does not read, without treating its target as unresponsive', async () => {
  await startInstance(20_000);
  await delay(2_000);
  const paused = writtenBytes;
  await delay(300);
  expect([writtenBytes, instance.receivedRequestIds.size]).toEqual([paused, 1]);
  expect(writtenBytes).toBeLessThan(BUFFERED_BYTES);
  let received = '';
  socket.on('data', (chunk) => {
    received = (received + String(chunk)).slice(-EVENT_BYTES * 2);
  });
  socket.resume();
  while (!received.endsWith('\r\n0\r\n\r\n')) await delay(20);
  expect(received).toContain(`id: ${EVENT_COUNT}\n`);
  expect(instance.logLines.filter(({ message }) => message === 'call.redispatched')).toEqual([]);
}, 20_000);

test('a stream whose caller does not read ends at the timeout of its route', async () => {
  await startInstance(1_000);
  await delay(1_500);
  expect(targetResponse?.destroyed).toBe(true);
  expect(instance.openCalls.all).toEqual([]);
});

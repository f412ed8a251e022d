import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { text } from 'node:stream/consumers';
import { delay } from '@limpetnotch/supervision';
import { DrainingInstance } from '../support/drainingInstance';

const HEAD = 'POST / HTTP/1.1\r\nhost: h\r\nx-id: r\r\ncontent-length: 9\r\n\r\n';
/** Time after the stop signal; the last responses are sent after 800 ms. */
const LATE_MILLISECONDS = 400;
const PAUSE_MILLISECONDS = 600;

let instance: DrainingInstance;

afterEach(() => instance.close());

const start = async (timeoutMilliseconds: number): Promise<Socket> => {
  instance = await DrainingInstance.start({
    target: (_request, response) => {
      response.writeHead(200, { 'x-signed': '1' }).end('served');
    },
    route: { timeoutMilliseconds, execution: { kind: 'at-most-once' } },
  });
  const socket = connect(instance.port, '127.0.0.1');
  await once(socket, 'connect');
  return socket;
};

/** Stops the instance while half a request is there; resolves late in the grace period. */
const stopWithHalfRequest = async (socket: Socket): Promise<{ stopped: Promise<void> }> => {
  socket.write(`${HEAD}1234`);
  while (instance.openCalls.size === 0) await delay(5);
  const stopped = instance.shutDown();
  await delay(LATE_MILLISECONDS);
  return { stopped };
};

/** Keeps the event loop from running, as a process does that gets no processor. */
const pauseProcess = (milliseconds: number): void => {
  const until = performance.now() + milliseconds;
  while (performance.now() < until);
};

// Requests that came late in the grace period were passed on and cut at its end.
test('a request whose body arrives late is served if it fits into the grace period', async () => {
  const socket = await start(700);
  const answer = text(socket);
  const { stopped } = await stopWithHalfRequest(socket);
  socket.write('56789');
  expect(await answer).toMatch(/^HTTP\/1\.1 200 /);
  await stopped;
});

test('a request whose body arrives late is refused at once if it does not fit', async () => {
  const socket = await start(60_000);
  const answer = text(socket);
  const { stopped } = await stopWithHalfRequest(socket);
  const sentAt = performance.now();
  socket.write('56789');
  expect(await answer).toMatch(/^HTTP\/1\.1 503 /);
  expect(performance.now() - sentAt).toBeLessThan(300);
  expect(instance.receivedRequestIds.size).toBe(0);
  await stopped;
});

test('a request that arrived during a pause of the process is refused as not run', async () => {
  const socket = await start(500);
  const answer = text(socket);
  const stopped = instance.shutDown();
  await delay(10);
  socket.write(`${HEAD}123456789`);
  pauseProcess(PAUSE_MILLISECONDS);
  expect(await answer).toMatch(/^HTTP\/1\.1 503 /);
  expect(instance.receivedRequestIds.size).toBe(0);
  await stopped;
});

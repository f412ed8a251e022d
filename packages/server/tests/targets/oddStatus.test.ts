import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Server } from 'node:net';
import { TargetClient } from '../../src/targets/targetClient';

const DEADLINE_MILLISECONDS = 2_000;

/** Status codes of no final response. */
const STATUSES = ['000', '099', '101', '12', '', '600', '999'] as const;

let client: TargetClient;
let server: Server;

beforeEach(() => {
  client = new TargetClient();
});

afterEach(async () => {
  await client.close();
  server.close();
});

// A failing target sent such a status, which its caller got as an answer.
test.each(STATUSES)('an answer with the status "%s" is broken', async (status) => {
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write(`HTTP/1.1 ${status} Odd\r\ncontent-length: 2\r\n\r\nab`);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  const port = typeof address === 'object' && address ? address.port : 0;
  const sent = await client.send({
    address: `http://127.0.0.1:${port}`,
    method: 'POST',
    pathAndQuery: '/',
    headers: {},
    body: Buffer.from('x'),
    progressDeadlineMilliseconds: DEADLINE_MILLISECONDS,
    signal: AbortSignal.timeout(DEADLINE_MILLISECONDS),
  });
  const got = sent.match(
    (response) => `status ${response.status}`,
    ({ kind }) => kind,
  );
  if (process.env.STATUS_TABLE) process.stderr.write(`limpetnotchd | ${status} | ${got}\n`);
  expect(sent.isErr()).toBe(true);
});

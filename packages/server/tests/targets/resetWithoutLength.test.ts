import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Server, Socket } from 'node:net';
import { TargetClient } from '../../src/targets/targetClient';

const DEADLINE_MILLISECONDS = 2_000;

let client: TargetClient;
let server: Server;

beforeEach(() => {
  client = new TargetClient();
});

afterEach(async () => {
  await client.close();
  server.close();
});

const ENDINGS: Readonly<Record<string, (socket: Socket) => void>> = {
  'with its last bytes': (socket) => {
    socket.write('half');
    socket.resetAndDestroy();
  },
  'after its last bytes': (socket) => {
    socket.write('half');
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
};

const readBody = async (end: (socket: Socket) => void): Promise<string> => {
  server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.write('HTTP/1.1 200 OK\r\n\r\n');
      setTimeout(() => end(socket), 20);
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
  const chunks: Buffer[] = [];
  for await (const chunk of sent._unsafeUnwrap().body) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString();
};

// The client takes a reset for the end of a body without a length.
test.each(Object.entries(ENDINGS))(
  'a body without a length is broken by a reset %s',
  async (_name, end) => {
    await expect(readBody(end)).rejects.toThrow();
  },
);

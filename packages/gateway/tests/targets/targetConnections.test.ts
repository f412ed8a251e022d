import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Exchange } from '../../src/targets/exchange';
import type { TargetRequest } from '../../src/targets/targetConnections';
import { TargetConnections } from '../../src/targets/targetConnections';
import { fleetTarget } from '../support/fleetTarget';

const REQUEST: TargetRequest = {
  method: 'POST',
  pathAndQuery: '/',
  headers: [],
  body: Buffer.from('x'),
};

const connections = new TargetConnections();
const sockets: Socket[] = [];
let server: Server | undefined;

const listen = async (handle: RequestListener): Promise<string> => {
  server = createServer(handle);
  server.on('connection', (socket: Socket) => sockets.push(socket));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  return `127.0.0.1:${typeof address === 'object' && address ? address.port : 0}`;
};

const bodyOf = async (exchange: Exchange): Promise<string> => {
  const chunks: Buffer[] = [];
  const answer = (await exchange.head)._unsafeUnwrap();
  for await (const chunk of answer.body) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

afterEach(async () => {
  await connections.close();
  server?.closeAllConnections();
  server?.close();
  sockets.length = 0;
});

test('a request that is sent alone opens a connection and closes it', async () => {
  const address = await listen((_request, response) => response.end('done'));
  const target = fleetTarget({ address });
  expect(await bodyOf(connections.send(target, 1, REQUEST))).toBe('done');
  expect(await bodyOf(connections.sendAlone(target, REQUEST))).toBe('done');
  expect(sockets).toHaveLength(2);
  const [kept, alone] = sockets;
  if (!alone?.destroyed) await once(alone!, 'close');
  expect(kept?.destroyed).toBe(false);
});

test('a request that was sent alone fails when all connections are closed', async () => {
  let isAsked = (): void => undefined;
  const asked = new Promise<void>((resolve) => {
    isAsked = resolve;
  });
  const address = await listen(() => isAsked());
  const exchange = connections.sendAlone(fleetTarget({ address }), REQUEST);
  await asked;
  await connections.close();
  expect((await exchange.head).isErr()).toBe(true);
});

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
const servers: Server[] = [];

const listen = async (handle: RequestListener): Promise<string> => {
  const server = createServer(handle);
  servers.push(server);
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
  servers.forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
  servers.length = 0;
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

test('a target that announces a new address gets requests there', async () => {
  const first = await listen((_request, response) => response.end('first'));
  const second = await listen((_request, response) => response.end('second'));
  expect(await bodyOf(connections.send(fleetTarget({ address: first }), 1, REQUEST))).toBe('first');
  const moved = fleetTarget({ address: second });
  expect(await bodyOf(connections.send(moved, 1, REQUEST))).toBe('second');
});

test('an answer from the address before goes on when a target announces a new one', async () => {
  let finish = (): void => undefined;
  const first = await listen((_request, response) => {
    response.write('fi');
    finish = () => response.end('rst');
  });
  const second = await listen((_request, response) => response.end('second'));
  const begun = connections.send(fleetTarget({ address: first }), 1, REQUEST);
  await begun.head;
  expect(await bodyOf(connections.send(fleetTarget({ address: second }), 1, REQUEST))).toBe(
    'second',
  );
  finish();
  expect(await bodyOf(begun)).toBe('first');
});

test('a request at an address that its target has left fails when all are closed', async () => {
  let isAsked = (): void => undefined;
  const asked = new Promise<void>((resolve) => {
    isAsked = resolve;
  });
  const first = await listen(() => isAsked());
  const second = await listen((_request, response) => response.end('second'));
  const begun = connections.send(fleetTarget({ address: first }), 1, REQUEST);
  await asked;
  await bodyOf(connections.send(fleetTarget({ address: second }), 1, REQUEST));
  await connections.close();
  expect((await begun.head).isErr()).toBe(true);
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

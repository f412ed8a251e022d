import { once } from 'node:events';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Exchange } from '../../src/targets/exchange';
import type { TargetRequest } from '../../src/targets/targetRequest';
import { TargetConnections } from '../../src/targets/targetConnections';
import { fleetTarget } from '../support/fleetTarget';

const REQUEST: TargetRequest = {
  id: 'r1',
  decodeResponseId: () => 'r1',
  method: 'POST',
  pathAndQuery: '/',
  headers: () => [],
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

const readBody = async (exchange: Exchange): Promise<string> => {
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

test('a request on a new connection opens it and closes it afterwards', async () => {
  const address = await listen((_request, response) => response.end('done'));
  const target = fleetTarget({ address });
  expect(await readBody(connections.send(target, 1, REQUEST))).toBe('done');
  expect(await readBody(connections.sendOnNewConnection(target, REQUEST))).toBe('done');
  expect(sockets).toHaveLength(2);
  const [kept, alone] = sockets;
  if (!alone?.destroyed) await once(alone!, 'close');
  expect(kept?.destroyed).toBe(false);
});

test('a target that announces a new address receives requests there', async () => {
  const first = await listen((_request, response) => response.end('first'));
  const second = await listen((_request, response) => response.end('second'));
  expect(await readBody(connections.send(fleetTarget({ address: first }), 1, REQUEST))).toBe(
    'first',
  );
  const moved = fleetTarget({ address: second });
  expect(await readBody(connections.send(moved, 1, REQUEST))).toBe('second');
});

test('a response from the previous address continues when a target announces a new one', async () => {
  let finish = (): void => undefined;
  const first = await listen((_request, response) => {
    response.write('fi');
    finish = () => response.end('rst');
  });
  const second = await listen((_request, response) => response.end('second'));
  const pendingExchange = connections.send(fleetTarget({ address: first }), 1, REQUEST);
  await pendingExchange.head;
  expect(await readBody(connections.send(fleetTarget({ address: second }), 1, REQUEST))).toBe(
    'second',
  );
  finish();
  expect(await readBody(pendingExchange)).toBe('first');
});

test('a request at the previous address of a target fails when all connections are closed', async () => {
  let markReceived = (): void => undefined;
  const requestReceived = new Promise<void>((resolve) => {
    markReceived = resolve;
  });
  const first = await listen(() => markReceived());
  const second = await listen((_request, response) => response.end('second'));
  const pendingExchange = connections.send(fleetTarget({ address: first }), 1, REQUEST);
  await requestReceived;
  await readBody(connections.send(fleetTarget({ address: second }), 1, REQUEST));
  await connections.close();
  expect((await pendingExchange.head).isErr()).toBe(true);
});

test('a request that waits for a connection is sent with headers computed on dispatch', async () => {
  const encodedAfter: number[] = [];
  let finished = 0;
  const address = await listen((request, response) => {
    encodedAfter.push(Number(request.headers['x-finished']));
    setTimeout(() => {
      finished += 1;
      response.end('done');
    }, 50);
  });
  const headers = (): string[] => ['x-finished', String(finished)];
  const exchanges = ['r1', 'r2', 'r3'].map((id) =>
    connections.send(fleetTarget({ address }), 1, {
      ...REQUEST,
      id,
      decodeResponseId: () => id,
      headers,
    }),
  );
  expect(await Promise.all(exchanges.map(readBody))).toEqual(['done', 'done', 'done']);
  expect([encodedAfter, sockets.length]).toEqual([[0, 1, 2], 1]);
});

test('a request aborted while it waits is not sent, and the next one is', async () => {
  let requestCount = 0;
  const address = await listen((_request, response) => {
    requestCount += 1;
    setTimeout(() => response.end('done'), 50);
  });
  const send = (): Exchange => connections.send(fleetTarget({ address }), 1, REQUEST);
  const [first, second, third] = [send(), send(), send()];
  second.abort('given up');
  expect(await Promise.all([first, third].map(readBody))).toEqual(['done', 'done']);
  expect([requestCount, second.wasSent]).toEqual([2, false]);
});

test('a request aborted while it connects releases its place to the next one', async () => {
  let requestCount = 0;
  const address = await listen((_request, response) => {
    requestCount += 1;
    response.end('done');
  });
  const send = (): Exchange => connections.send(fleetTarget({ address }), 1, REQUEST);
  const [aborted, next] = [send(), send()];
  aborted.abort('given up');
  expect(await readBody(next)).toBe('done');
  expect(requestCount).toBe(1);
});

test('a request aborted at the target releases its connection slot to the next one', async () => {
  let requestCount = 0;
  let markReceived = (): void => undefined;
  const first = new Promise<void>((resolve) => {
    markReceived = resolve;
  });
  const address = await listen((_request, response) => {
    requestCount += 1;
    if (requestCount === 1) markReceived();
    else response.end('done');
  });
  const send = (): Exchange => connections.send(fleetTarget({ address }), 1, REQUEST);
  const [aborted, next] = [send(), send()];
  await first;
  aborted.abort('given up');
  expect(await readBody(next)).toBe('done');
});

test('requests waiting for a connection that cannot be opened all fail as not sent', async () => {
  const target = fleetTarget({ address: '127.0.0.1:1' });
  const exchanges = [1, 2, 3].map(() => connections.send(target, 1, REQUEST));
  const heads = await Promise.all(exchanges.map(({ head }) => head));
  expect(heads.map((head) => head._unsafeUnwrapErr().kind)).toEqual(Array(3).fill('not-sent'));
});

test('a request that waits when its target is removed is still sent', async () => {
  const address = await listen((_request, response) => {
    setTimeout(() => response.end('done'), 50);
  });
  const send = (): Exchange => connections.send(fleetTarget({ address }), 1, REQUEST);
  const exchanges = [send(), send()];
  connections.retain(() => false);
  expect(await Promise.all(exchanges.map(readBody))).toEqual(['done', 'done']);
});

test('a request that waits for a connection fails when all connections are closed', async () => {
  const address = await listen(() => undefined);
  const send = (): Exchange => connections.send(fleetTarget({ address }), 1, REQUEST);
  const exchanges = [send(), send()];
  await connections.close();
  const heads = await Promise.all(exchanges.map(({ head }) => head));
  expect(heads.every((head) => head.isErr())).toBe(true);
});

test('a request on a new connection fails when all connections are closed', async () => {
  let markReceived = (): void => undefined;
  const requestReceived = new Promise<void>((resolve) => {
    markReceived = resolve;
  });
  const address = await listen(() => markReceived());
  const exchange = connections.sendOnNewConnection(fleetTarget({ address }), REQUEST);
  await requestReceived;
  await connections.close();
  expect((await exchange.head).isErr()).toBe(true);
});

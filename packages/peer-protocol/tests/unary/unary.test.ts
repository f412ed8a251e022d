import { once } from 'node:events';
import type { IncomingMessage, RequestListener, Server } from 'node:http';
import { Agent, createServer, request } from 'node:http';
import type { Client } from '@connectrpc/connect';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { connectNodeAdapter, createConnectTransport } from '@connectrpc/connect-node';
import { createUnaryListener, createUnaryTransport, FleetService } from '../../src';

const agent = new Agent({ keepAlive: true });

const implementation = {
  takeTokens: async ({ wanted }: { wanted: number }) => ({ given: wanted, nextMilliseconds: 0 }),
  findOrigin: async () => {
    throw new ConnectError('lost', Code.NotFound);
  },
};

const general: RequestListener = connectNodeAdapter({
  routes: (router) => router.service(FleetService, implementation),
});

let server: Server;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

afterAll(() => agent.destroy());

const listen = async (listener: RequestListener): Promise<number> => {
  server = createServer(listener);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
};

const unaryClient = (port: number): Client<typeof FleetService> =>
  createClient(FleetService, createUnaryTransport({ host: '127.0.0.1', port, agent }));

const generalClient = (port: number): Client<typeof FleetService> => {
  const baseUrl = `http://127.0.0.1:${port}`;
  return createClient(FleetService, createConnectTransport({ baseUrl, httpVersion: '1.1' }));
};

const unary = createUnaryListener({ service: FleetService, implementation, fallback: general });

// Instances of both builds call each other while a fleet is upgraded.
test.each([
  { caller: 'unary', createCaller: unaryClient, called: 'unary', listener: unary },
  { caller: 'unary', createCaller: unaryClient, called: 'general', listener: general },
  { caller: 'general', createCaller: generalClient, called: 'unary', listener: unary },
])('the $caller transport understands the $called listener', async ({ createCaller, listener }) => {
  const client = createCaller(await listen(listener));
  const answer = await client.takeTokens({ organisation: 'o', wanted: 3 }, { timeoutMs: 1_000 });
  expect(answer).toMatchObject({ given: 3, ahead: 0, nextMilliseconds: 0 });
  const failed = client.findOrigin({ streamKey: 's' });
  await expect(failed).rejects.toMatchObject({ code: Code.NotFound, rawMessage: 'lost' });
  const missing = client.listLimits({});
  await expect(missing).rejects.toMatchObject({ code: Code.Unimplemented });
});

test('a peer that does not respond in time fails the call', async () => {
  const client = unaryClient(await listen(() => undefined));
  const call = client.takeTokens({ organisation: 'o', wanted: 1 }, { timeoutMs: 50 });
  await expect(call).rejects.toMatchObject({ code: Code.DeadlineExceeded });
});

test('a peer that breaks off its answer fails the call', async () => {
  const client = unaryClient(
    await listen((_request, response) => {
      response.writeHead(200, { 'content-length': 100 }).write('half');
      setTimeout(() => response.destroy(), 10);
    }),
  );
  await expect(client.takeTokens({ organisation: 'o', wanted: 1 })).rejects.toThrow();
});

test('a peer that does not end its answer in time fails the call', async () => {
  const client = unaryClient(
    await listen((_request, response) => {
      response.writeHead(200, { 'content-length': 100 }).write('half');
    }),
  );
  const call = client.takeTokens({ organisation: 'o', wanted: 1 }, { timeoutMs: 50 });
  await expect(call).rejects.toThrow();
});

test('an answer without end is given up', async () => {
  const client = unaryClient(
    await listen((_request, response) => {
      const write = (): void => {
        while (!response.destroyed && response.write(Buffer.alloc(1_048_576)));
      };
      response.on('drain', write);
      write();
    }),
  );
  await expect(client.listLimits({})).rejects.toMatchObject({ code: Code.ResourceExhausted });
});

test('bytes that are no message are answered with an error', async () => {
  const port = await listen(unary);
  const path = '/limpetnotch.fleet.v1.FleetService/TakeTokens';
  const headers = { 'content-type': 'application/proto' };
  const outgoing = request({ host: '127.0.0.1', port, method: 'POST', path, headers });
  outgoing.end('ff');
  const [response] = (await once(outgoing, 'response')) as [IncomingMessage];
  expect(response.statusCode).toBeGreaterThanOrEqual(400);
  response.resume();
});

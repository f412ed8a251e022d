import { once } from 'node:events';
import { createServer } from 'node:http';
import type { Server, ServerResponse } from 'node:http';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { Logger, LogMessageId } from '@limpetnotch/observability';
import type { BatchStore, StoreEntry } from '@limpetnotch/store';
import { Deferred, delay } from '@limpetnotch/supervision';
import { errAsync, okAsync } from 'neverthrow';
import type { FleetCodec } from '../src/fleet/fleetCodec';
import { Gateway } from '../src/gateway';
import { fleetRoute } from './support/fleetRoute';
import { KeepAliveConnection } from './support/keepAliveConnection';
import type { CallerOutcome } from './support/keepAliveConnection';
import { platformLimits } from './support/platformLimits';
import { testWireCodec } from './support/testWireCodec';

const servers: Server[] = [];
const callers: KeepAliveConnection[] = [];

afterEach(() => {
  callers.splice(0).forEach((caller) => caller.close());
  servers.splice(0).forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
});

const listen = async (server: Server): Promise<number> => {
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const address = server.address();
  return typeof address === 'object' && address ? address.port : 0;
};

/** Returns a port that nothing listens on. */
const findFreePort = async (): Promise<number> => {
  const server = createServer();
  const port = await listen(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
};

/**
 * Creates a store with one configuration and one target, whose list of budgets throws an unexpected
 * error.
 */
const createStore = (): BatchStore => {
  const entry = (key: string): StoreEntry => ({ key, value: '', revision: 1 });
  return {
    list: (prefix: string) => {
      if (prefix.startsWith('budget')) throw new Error('unforeseen');
      const entries = ['operator/', 'target/'].includes(prefix) ? [entry(prefix)] : [];
      return okAsync({ entries, revision: 1 });
    },
    async *watch({ signal }: { readonly signal: AbortSignal }) {
      while (!signal.aborted) {
        await delay(100, signal);
        yield { kind: 'progress', revision: 1 };
      }
    },
    grantLease: () => errAsync({ kind: 'unavailable', detail: 'no leases here' }),
  } as unknown as BatchStore;
};

const createFleetCodec = (targetPort: number): FleetCodec => ({
  operatorPrefix: 'operator/',
  targetPrefix: 'target/',
  decodeOperatorEntry: () => ({
    kind: 'configuration',
    configuration: {
      version: 1,
      routes: [fleetRoute({ timeoutMilliseconds: 20_000 })],
      services: [{ name: 's', connectionLimit: 8 }],
      limits: {
        headerBytes: 8_192,
        bodyBytes: 8_192,
        headerTimeoutMilliseconds: 60_000,
        idleTimeoutMilliseconds: 60_000,
      },
    },
  }),
  decodeTarget: () => ({
    kind: 'target',
    target: {
      id: 't0',
      address: `127.0.0.1:${targetPort}`,
      service: 's',
      availabilityZone: 'a',
      slots: 8,
      state: 'serving',
    },
  }),
  targetIdOf: () => 't0',
  decodeEvacuatedZone: () => undefined,
  encodeRetired: () => ({ key: '', value: '' }),
});

interface StartedGateway {
  readonly gateway: Gateway;
  readonly port: number;
  readonly held: Promise<ServerResponse>;
}

/** Creates a gateway whose only target withholds every response. */
const createGateway = async (logger: Logger = silentLogger): Promise<StartedGateway> => {
  const held = new Deferred<ServerResponse>();
  const target = createServer((request, response) => {
    response.setHeader('x-id', String(request.headers['x-id']));
    held.resolve(response);
  });
  servers.push(target);
  const targetPort = await listen(target);
  const host = '127.0.0.1';
  const port = await findFreePort();
  const gateway = new Gateway({
    settings: {
      instance: 'i',
      availabilityZone: 'a',
      entry: { host, port },
      readiness: { host, port: 0 },
      readinessPath: '/ready',
      peer: { host, port: 0 },
      isFirstStart: false,
      graceMilliseconds: 20_000,
      quotaWindowSeconds: 5,
      ...platformLimits,
    },
    store: createStore(),
    wireCodec: testWireCodec,
    fleetCodec: createFleetCodec(targetPort),
    logger,
    metrics: new MemoryMetrics(),
  });
  return { gateway, port, held: held.promise };
};

/** Sends requests until the gateway listens and has its configuration, and the target has one. */
const sendHeld = async (
  port: number,
  held: Promise<ServerResponse>,
): Promise<{ readonly sent: Promise<CallerOutcome> }> => {
  const caller = new KeepAliveConnection(port);
  callers.push(caller);
  let sent = caller.send({ id: 'held' });
  const isEarly = (): Promise<boolean> =>
    Promise.race([held.then(() => false), sent.then(() => true)]);
  while (await isEarly()) {
    await delay(20);
    sent = caller.send({ id: 'held' });
  }
  return { sent };
};

test('a gateway whose tasks fail completes the requests under way', async () => {
  const { gateway, port, held } = await createGateway();
  const ended = gateway.run(new AbortController().signal).catch((error: unknown) => error);
  const { sent } = await sendHeld(port, held);
  const response = await held;
  // Past the failure of the task that reads the budgets, 3 s after the start.
  await Promise.race([delay(4_000), ended]);
  response.writeHead(200, { 'x-signed': '1' }).end('ok');
  const outcome = await sent;
  expect(await ended).toBeInstanceOf(Error);
  expect(outcome).toMatchObject({ kind: 'answered', status: 200, body: 'ok' });
}, 20_000);

test('a gateway whose tasks fail while it drains completes the requests under way', async () => {
  const escalated = new Deferred();
  const error = (message: LogMessageId): void => {
    if (message === 'supervisor.escalated') escalated.resolve(undefined);
  };
  const { gateway, port, held } = await createGateway({ ...silentLogger, error });
  const stop = new AbortController();
  const ended = gateway.run(stop.signal);
  const { sent } = await sendHeld(port, held);
  stop.abort();
  await escalated.promise;
  // Covers several checks of the drain.
  await delay(200);
  (await held).writeHead(200, { 'x-signed': '1' }).end('ok');
  expect(await sent).toMatchObject({ kind: 'answered', status: 200, body: 'ok' });
  await ended;
}, 20_000);

test('a gateway that is stopped before it starts accepts no request', async () => {
  const { gateway, port } = await createGateway();
  const stop = new AbortController();
  stop.abort();
  const ended = gateway.run(stop.signal);
  const caller = new KeepAliveConnection(port);
  callers.push(caller);
  const kinds = new Set<string>();
  let hasEnded = false;
  void ended.then(() => {
    hasEnded = true;
  });
  while (!hasEnded) {
    kinds.add((await caller.send({ id: 'early', patienceMilliseconds: 100 })).kind);
    await delay(20);
  }
  expect([...kinds]).toEqual(['not-connected']);
}, 20_000);

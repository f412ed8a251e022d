import type { RequestListener } from 'node:http';
import type { ServiceImpl } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { MemoryMetrics } from '@limpetnotch/observability';
import type { KnownPrefix, RelayMessage } from '@limpetnotch/observation';
import type { ObserveStoreRequest } from '@limpetnotch/peer-protocol';
import { createServerStreamListener, FleetService } from '@limpetnotch/peer-protocol';
import { Deferred } from '@limpetnotch/supervision';
import { HttpListener } from '../../src/ingress/httpListener';
import { ObservationClient } from '../../src/peers/observationClient';
import { fromObserveMessage, toRelayedMessage } from '../../src/peers/observationMessage';
import { WorkCounts } from '../../src/work/workCounts';
import { createFleetPeers } from '../support/createFleetPeers';

const peers = createFleetPeers();
const client = new ObservationClient({ peers, counts: new WorkCounts(new MemoryMetrics()) });

let listener: HttpListener | undefined;

afterEach(async () => {
  peers.setPeers(new Map());
  await listener?.close();
});

type Handle = (request: ObserveStoreRequest, signal: AbortSignal) => AsyncIterable<RelayMessage>;

const createGeneralListener = (
  implementation: Partial<ServiceImpl<typeof FleetService>>,
): RequestListener =>
  connectNodeAdapter({
    routes: (router) => router.service(FleetService, implementation),
    acceptCompression: [],
  });

async function* toMessages(relayed: AsyncIterable<RelayMessage>) {
  for await (const message of relayed) yield toRelayedMessage(message);
}

/** The listener of the instances, and the general one of the Connect protocol. */
const listeners = {
  lean: (handle: Handle): RequestListener =>
    createServerStreamListener({
      method: FleetService.method.observeStore,
      handle: (request, signal) => toMessages(handle(request, signal)),
      fallback: (_request, response) => response.writeHead(404).end(),
    }),
  general: (handle: Handle): RequestListener =>
    createGeneralListener({
      observeStore: (request, { signal }) => toMessages(handle(request, signal)),
    }),
};

const listen = async (requestListener: RequestListener): Promise<void> => {
  listener = await HttpListener.start({
    host: '127.0.0.1',
    port: 0,
    listener: requestListener,
  });
  peers.setPeers(new Map([['reader', `127.0.0.1:${listener.port}`]]));
};

const known: readonly KnownPrefix[] = [{ prefix: 'op/', revision: 7 }];

const messages: readonly RelayMessage[] = [
  {
    elapsedMilliseconds: 0,
    updates: [
      {
        prefix: 'op/',
        isComplete: true,
        changes: [{ key: 'op/config', value: '{"ü":1}', revision: 8 }],
        revision: 9,
        ageMilliseconds: 3,
        lostMilliseconds: 900,
        regainedMilliseconds: 40,
      },
    ],
  },
  {
    elapsedMilliseconds: 40,
    updates: [
      {
        prefix: 'op/',
        isComplete: false,
        changes: [
          { key: 'op/config', value: '', revision: 10 },
          { key: 'op/config', value: undefined, revision: 11 },
        ],
        revision: 11,
        ageMilliseconds: 1,
        lostMilliseconds: 0,
        regainedMilliseconds: 0,
      },
    ],
  },
];

test.each(['lean', 'general'] as const)(
  'messages arrive as they were relayed (%s)',
  async (kind) => {
    let asked: readonly KnownPrefix[] = [];
    await listen(
      listeners[kind](async function* relay(request) {
        asked = fromObserveMessage(request);
        yield* messages;
      }),
    );
    const received: RelayMessage[] = [];
    const { signal } = new AbortController();
    for await (const message of client.observe('reader', known, signal)) received.push(message);
    expect(received).toEqual(messages);
    expect(asked).toEqual(known);
  },
);

test('a large configuration arrives whole', async () => {
  const value = 'ü'.repeat(700_000);
  const changes = [{ key: 'op/config', value, revision: 8 }];
  const update = { ...messages[0]!.updates[0]!, changes };
  const message = { elapsedMilliseconds: 0, updates: [update] };
  await listen(
    listeners.lean(async function* relay() {
      yield message;
      yield message;
    }),
  );
  const received: RelayMessage[] = [];
  const { signal } = new AbortController();
  for await (const next of client.observe('reader', known, signal)) received.push(next);
  expect(received).toEqual([message, message]);
});

// A reader that keeps streams to followers that have left relays to ever more of them.
test('a follower that stops ends the stream at the reader', async () => {
  const ended = new Deferred<void>();
  await listen(
    listeners.lean(async function* relay(_request, signal) {
      signal.addEventListener('abort', () => ended.resolve(undefined));
      yield messages[0]!;
      await ended.promise;
    }),
  );
  const stopping = new AbortController();
  const stream = client.observe('reader', known, stopping.signal);
  await stream.next();
  const next = stream.next();
  stopping.abort();
  await expect(next).rejects.toThrow();
  await ended.promise;
});

// A stream that breaks off must not look like one that has nothing more to say.
test.each(['breaks off', 'fails'])('a stream that %s throws', async (end) => {
  const received = new Deferred<void>();
  await listen(
    listeners.lean(async function* relay() {
      yield messages[0]!;
      await received.promise;
      if (end === 'fails') throw new Error('unforeseen');
      await listener?.close();
    }),
  );
  const stream = client.observe('reader', known, new AbortController().signal);
  expect((await stream.next()).value).toEqual(messages[0]);
  received.resolve(undefined);
  await expect(stream.next()).rejects.toThrow();
});

test.each(['reader', 'left'])(
  'no stream comes from an earlier version or a left one (%s)',
  async (name) => {
    await listen(createGeneralListener({ listLimits: async () => ({ limits: [] }) }));
    const { signal } = new AbortController();
    await expect(client.observe(name, known, signal).next()).rejects.toThrow();
  },
);

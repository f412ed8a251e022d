import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { SharedObservation } from '@limpetnotch/observation';
import { delay } from '@limpetnotch/supervision';
import { HttpListener } from '../../src/ingress/httpListener';
import type { FleetListenerParts } from '../../src/peers/fleetListener';
import { createFleetListener } from '../../src/peers/fleetListener';
import { ObservationClient } from '../../src/peers/observationClient';
import { rankInstances } from '../../src/util/rankInstances';
import { WorkCounts } from '../../src/work/workCounts';
import { createFleetPeers } from '../support/createFleetPeers';
import { WatchedStore } from '../support/watchedStore';

const SIZE = 9;

const stopping = new AbortController();
const listeners: HttpListener[] = [];
const peers = Array.from({ length: SIZE }, createFleetPeers);
const store = new WatchedStore();

/** Starts an instance whose observation is reached over the listener of the instances. */
const startInstance = async (
  index: number,
  known: Map<string, string>,
): Promise<SharedObservation> => {
  const observation = new SharedObservation({
    store: store.client,
    instance: `instance-${index}`,
    availabilityZone: 'zone',
    source: new ObservationClient({
      peers: peers[index]!,
      counts: new WorkCounts(new MemoryMetrics()),
    }),
    rank: rankInstances,
    logger: silentLogger,
    metrics: new MemoryMetrics(),
  });
  const parts = { observation } as unknown as FleetListenerParts;
  listeners.push(
    await HttpListener.start({ host: '127.0.0.1', port: 0, listener: createFleetListener(parts) }),
  );
  const { signal } = stopping;
  void observation.task.run({ signal, ready: () => undefined });
  void observation.follow({
    prefix: 'op/',
    signal,
    silenceMilliseconds: 3_000,
    boundMilliseconds: 3_000,
    listener: {
      replaced: (entries) => entries.forEach(({ key, value }) => known.set(key, value)),
      put: ({ key, value }) => known.set(key, value),
      removed: (key) => known.delete(key),
      confirmed: () => undefined,
      lost: () => undefined,
    },
  });
  return observation;
};

const waitFor = async (isReached: () => boolean): Promise<void> => {
  while (!isReached()) await delay(20);
};

afterAll(async () => {
  stopping.abort();
  peers.forEach((client) => client.close());
  await Promise.all(listeners.map((listener) => listener.close()));
});

test('nine instances share the reading of the store over their listeners', async () => {
  const views = Array.from({ length: SIZE }, () => new Map<string, string>());
  const observations = await Promise.all(views.map((view, index) => startInstance(index, view)));
  const addresses = listeners.map((listener) => `127.0.0.1:${listener.port}`);
  const present = views.map((_view, index) => ({
    name: `instance-${index}`,
    availabilityZone: 'zone',
    canRelay: true,
  }));
  observations.forEach((observation, index) => {
    const others = addresses.flatMap((address, other): (readonly [string, string])[] =>
      other === index ? [] : [[`instance-${other}`, address]],
    );
    peers[index]?.setPeers(new Map(others));
    observation.setFleet({ size: SIZE, present });
  });
  const countFollowers = (): number =>
    observations.filter(({ mode }) => mode === 'follower').length;
  await waitFor(() => countFollowers() === SIZE - 2);
  store.overwrite('op/config', 'new');
  await waitFor(() => views.every((view) => view.get('op/config') === 'new'));
  store.overwrite('op/config', 'newer');
  await waitFor(() => views.every((view) => view.get('op/config') === 'newer'));
  await delay(3_500);
  expect(countFollowers()).toBe(SIZE - 2);
}, 30_000);

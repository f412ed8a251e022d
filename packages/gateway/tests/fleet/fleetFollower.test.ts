import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import type { ObservationOptions } from '@limpetnotch/observation';
import { FleetFollower } from '../../src/fleet/fleetFollower';
import { FleetState } from '../../src/fleet/fleetState';
import { platformLimits } from '../support/platformLimits';
import { testFleetCodec } from '../support/testFleetCodec';

const followed = new Map<string, ObservationOptions>();
const state = new FleetState();

const startFollower = async (): Promise<void> => {
  const follower = new FleetFollower({
    observation: {
      follow: async (options) => {
        followed.set(options.prefix, options);
      },
    },
    bounds: { ...platformLimits.bounds, applyMilliseconds: 2_000, drainMilliseconds: 3_000 },
    codec: testFleetCodec,
    state,
    logger: silentLogger,
    metrics: new MemoryMetrics(),
    onConfiguration: () => undefined,
    onTargetsChanged: () => undefined,
    onRetirement: () => undefined,
    onStoreLost: () => undefined,
    onStoreRegained: () => undefined,
  });
  const { signal } = new AbortController();
  for (const task of follower.tasks) await task.run({ signal, ready: () => undefined });
};

beforeEach(() => jest.useFakeTimers());

afterEach(() => jest.useRealTimers());

test('the configuration and the targets are followed within their bounds', async () => {
  await startFollower();
  expect(followed.get('op/')?.boundMilliseconds).toBe(2_000);
  expect(followed.get('servers/')?.boundMilliseconds).toBe(3_000);
});

// Followers hear of an outage of the store when it is over; announcements that lapsed come back.
test('targets whose announcements lapsed in an outage of a reader are kept for a while', async () => {
  await startFollower();
  const listener = followed.get('servers/')?.listener;
  const entry = { key: 'servers/t', value: 'serving', revision: 2 };
  listener?.replaced([entry], 2);
  listener?.lost('a reader had lost the store', 1_200);
  listener?.removed('servers/t', 3);
  expect(state.targets.get('servers/t')).toBeDefined();
  jest.advanceTimersByTime(2_300);
  expect(state.targets.get('servers/t')).toBeUndefined();
});

test('without an outage, a target is gone at once', async () => {
  await startFollower();
  const listener = followed.get('servers/')?.listener;
  listener?.replaced([{ key: 'servers/t', value: 'serving', revision: 12 }], 12);
  jest.advanceTimersByTime(5_000);
  listener?.removed('servers/t', 13);
  expect(state.targets.get('servers/t')).toBeUndefined();
});

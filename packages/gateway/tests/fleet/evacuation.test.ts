import type { LogFields, Logger } from '@limpetnotch/observability';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { followPrefix } from '@limpetnotch/store';
import type { FleetCodec } from '../../src/fleet/fleetCodec';
import { FleetFollower } from '../../src/fleet/fleetFollower';
import { FleetState } from '../../src/fleet/fleetState';
import { platformLimits } from '../support/platformLimits';
import { FailingStore } from './failingStore';

const PREFIX = 'operator/evacuated/';

const codec: FleetCodec = {
  operatorPrefix: 'operator/',
  targetPrefix: 'target/',
  decodeOperatorEntry: () => ({ kind: 'other' }),
  decodeTarget: () => ({ kind: 'unreadable', detail: '' }),
  targetIdOf: (key) => key,
  decodeEvacuatedZone: (key) => (key.startsWith(PREFIX) ? key.slice(PREFIX.length) : undefined),
  encodeRetired: () => ({ key: '', value: '' }),
};

let store = new FailingStore();
let state = new FleetState();
let metrics = new MemoryMetrics();
let end = new AbortController();
const logLines: (readonly [string, LogFields | undefined])[] = [];

/** Starts an instance that knows nothing yet. */
const start = (): void => {
  end.abort();
  end = new AbortController();
  state = new FleetState();
  metrics = new MemoryMetrics();
  const logger: Logger = {
    ...silentLogger,
    info: (message, fields) => logLines.push([message, fields]),
  };
  const follower = new FleetFollower({
    observation: {
      follow: (options) => followPrefix({ ...options, store: store.client }),
    },
    bounds: platformLimits.bounds,
    codec,
    state,
    logger,
    metrics,
    onConfiguration: () => undefined,
    onTargetsChanged: () => undefined,
    onRetirement: () => undefined,
    onStoreLost: () => undefined,
    onStoreRegained: () => undefined,
  });
  const [operatorTask] = follower.tasks;
  void operatorTask?.run({ signal: end.signal, ready: () => undefined });
};

beforeEach(() => {
  jest.useFakeTimers();
  store = new FailingStore();
  logLines.length = 0;
  start();
});

afterEach(() => {
  end.abort();
  jest.useRealTimers();
});

const pass = async (milliseconds = 1_000): Promise<void> => {
  await jest.advanceTimersByTimeAsync(milliseconds);
};

const evacuate = (zone: string): void => store.inner.overwrite(`${PREFIX}${zone}`, '{}');

const revoke = async (zone: string): Promise<void> => {
  await Promise.all([store.inner.client.remove(`${PREFIX}${zone}`, 0), pass()]);
};

const getZones = (): string[] => [...state.evacuations.zones].sort();

test('an evacuation is in force once it is written, until it is removed', async () => {
  await pass();
  evacuate('a');
  evacuate('b');
  await pass(200);
  expect(getZones()).toEqual(['a', 'b']);
  await revoke('a');
  expect(getZones()).toEqual(['b']);
});

test('an evacuation is logged and counted once, at its start and at its end', async () => {
  await pass();
  evacuate('a');
  await pass();
  store.inner.overwrite(`${PREFIX}a`, 'again');
  await pass();
  await revoke('a');
  const lines = logLines.filter(([message]) => message.startsWith('evacuations.'));
  expect(lines).toEqual([
    ['evacuations.started', { availabilityZone: 'a' }],
    ['evacuations.ended', { availabilityZone: 'a' }],
  ]);
  expect(metrics.counter('evacuations.changes', { change: 'started' })).toBe(1);
  expect(metrics.gaugeValue('evacuations.zones')).toBe(0);
});

test('an evacuation stays in force while the store is away', async () => {
  evacuate('a');
  await pass();
  store.isAway = true;
  await pass(20_000);
  expect(getZones()).toEqual(['a']);
});

test('a restarted instance reads the evacuations with its first listing', async () => {
  evacuate('a');
  start();
  expect(getZones()).toEqual([]);
  await pass(200);
  expect(getZones()).toEqual(['a']);
});

// A removal between the last event and a new listing is never seen as an event.
test('an evacuation whose key is absent from a new listing has ended, the others continue', async () => {
  evacuate('a');
  evacuate('b');
  await pass();
  store.isCompacted = true;
  const removed = store.inner.client.remove(`${PREFIX}a`, 0);
  await pass(10);
  await removed;
  store.isCompacted = false;
  await pass(3_000);
  expect(getZones()).toEqual(['b']);
});

test('a key of another kind evacuates nothing', async () => {
  store.inner.overwrite('operator/configuration', '{}');
  await pass();
  expect(getZones()).toEqual([]);
});

import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { followPrefix } from '@limpetnotch/store';
import type { FleetCodec } from '../../src/fleet/fleetCodec';
import { FleetFollower } from '../../src/fleet/fleetFollower';
import { FleetState } from '../../src/fleet/fleetState';
import { fleetTargetSchema } from '../../src/targets/fleetTarget';
import { fleetTarget } from '../support/fleetTarget';
import { platformLimits } from '../support/platformLimits';
import { FailingStore } from './failingStore';

const PREFIX = 'target/';

const START = 1_000_000;

const codec: FleetCodec = {
  operatorPrefix: 'operator/',
  targetPrefix: PREFIX,
  decodeOperatorEntry: () => ({ kind: 'other' }),
  decodeTarget: ({ value }) => ({
    kind: 'target',
    target: fleetTargetSchema.parse(JSON.parse(value)),
  }),
  targetIdOf: (key) => key.slice(PREFIX.length),
  decodeEvacuatedZone: () => undefined,
  encodeRetired: () => ({ key: '', value: '' }),
};

let store = new FailingStore();
let state = new FleetState();
let end = new AbortController();
/** Targets that were not known to be cold when they came into use. */
let usedWarm: string[] = [];

/** Starts an instance that knows nothing yet. */
const start = (): void => {
  end.abort();
  end = new AbortController();
  state = new FleetState();
  state.coldTargets.configure([
    { name: 's', connectionLimit: 8, coldStart: { milliseconds: 3_000, requestsPerSecond: 26 } },
  ]);
  const follower = new FleetFollower({
    observation: {
      follow: (options) => followPrefix({ ...options, store: store.client }),
    },
    bounds: platformLimits.bounds,
    codec,
    state,
    logger: silentLogger,
    metrics: new MemoryMetrics(),
    onConfiguration: () => undefined,
    onTargetsChanged: () => {
      usedWarm = state.targets
        .getServing('s')
        .map(({ id }) => id)
        .filter((id) => !state.coldTargets.get(id));
    },
    onRetirement: () => undefined,
    onStoreLost: () => undefined,
    onStoreRegained: () => undefined,
  });
  const [, targetTask] = follower.tasks;
  void targetTask?.run({ signal: end.signal, ready: () => undefined });
};

beforeEach(() => {
  jest.useFakeTimers({ now: START });
  store = new FailingStore();
  usedWarm = [];
});

afterEach(() => {
  end.abort();
  jest.useRealTimers();
});

const pass = async (milliseconds = 500): Promise<void> => {
  await jest.advanceTimersByTimeAsync(milliseconds);
};

const announce = (id: string, change: Parameters<typeof fleetTarget>[0] = {}): void => {
  const target = fleetTarget({ id, bornMilliseconds: Date.now(), ...change });
  store.inner.overwrite(`${PREFIX}${id}`, JSON.stringify(target));
};

const getCold = (): string[] => [...state.coldTargets.all.keys()].sort();

/** Has the store forget its history, so that the announcements are listed again. */
const listAgain = async (): Promise<void> => {
  store.isCompacted = true;
  await pass(10);
  store.isCompacted = false;
  await pass(1_000);
};

test('a target is known to be cold before it comes into use', async () => {
  start();
  await pass();
  announce('t0');
  announce('t1', { coldRemainingMilliseconds: 2_000 });
  await pass();
  expect(getCold()).toEqual(['t0', 't1']);
  expect(usedWarm).toEqual([]);
});

test('targets that started long before an instance are not cold', async () => {
  announce('t0', { bornMilliseconds: START - 60_000 });
  start();
  await pass();
  expect(getCold()).toEqual([]);
});

test('a new listing makes no known target cold, but one that has started since', async () => {
  announce('t0', { coldRemainingMilliseconds: 1_000 });
  start();
  await pass(2_000);
  announce('t1');
  await listAgain();
  expect(getCold()).toEqual(['t1']);
  await listAgain();
  await listAgain();
  expect(getCold()).toEqual([]);
});

test('a target stays cold for its time while the store is away', async () => {
  start();
  await pass();
  announce('t0', { coldRemainingMilliseconds: 2_000 });
  await pass();
  store.isAway = true;
  await pass(1_000);
  expect(getCold()).toEqual(['t0']);
  await pass(600);
  expect(getCold()).toEqual([]);
});

test('what another instance reports lasts while the store is away, and ends with its response', async () => {
  announce('t0', { bornMilliseconds: START - 60_000 });
  start();
  await pass();
  store.isAway = true;
  await pass(1_000);
  const untilMilliseconds = performance.now() + 9_000;
  state.coldTargets.report('t0', { untilMilliseconds, requestsPerSecond: 20 });
  await pass(3_000);
  expect(getCold()).toEqual(['t0']);
  store.isAway = false;
  await pass(3_000);
  expect(getCold()).toEqual([]);
});

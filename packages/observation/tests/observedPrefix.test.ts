import type { PrefixListener } from '@limpetnotch/store';
import { ObservedPrefix } from '../src/observedPrefix';
import type { PrefixUpdate } from '../src/relayMessage';

const calls: string[] = [];

const listener: PrefixListener = {
  replaced: (entries, revision) => calls.push(`replaced ${entries.length}@${revision}`),
  put: ({ key, revision }) => calls.push(`put ${key}@${revision}`),
  removed: (key, revision) => calls.push(`removed ${key}@${revision}`),
  confirmed: (revision) => calls.push(`confirmed ${revision}`),
  lost: (_detail, lostMilliseconds) => calls.push(`lost ${lostMilliseconds ?? 'now'}`),
};

const createPrefix = (): ObservedPrefix =>
  new ObservedPrefix({
    listener,
    limits: { silenceMilliseconds: 1_500, trustMilliseconds: 1_600 },
    arrivalMilliseconds: () => performance.now(),
    onStoreResponse: () => undefined,
  });

const updateOf = (update: Partial<PrefixUpdate>): PrefixUpdate => ({
  prefix: 'servers/',
  isComplete: false,
  changes: [],
  revision: 10,
  ageMilliseconds: 0,
  lostMilliseconds: 0,
  regainedMilliseconds: 0,
  ...update,
});

const takeCalls = (): readonly string[] => calls.splice(0);

const entry = { key: 'servers/t', value: 'v', revision: 8 };

beforeEach(() => jest.useFakeTimers());

afterEach(() => jest.useRealTimers());

test('relayed changes reach the listener once, and none that the store has reported', () => {
  const observed = createPrefix();
  observed.storeListener.replaced([entry], 9);
  observed.storeListener.confirmed(9);
  takeCalls();
  const changes = [{ key: 'servers/t', value: undefined, revision: 10 }];
  observed.applyUpdate(updateOf({ changes }), performance.now());
  observed.storeListener.removed('servers/t', 10);
  expect(takeCalls()).toEqual(['removed servers/t@10', 'confirmed 10']);
});

// Repeated lines of a lost store, although what is known is current.
test('a loss of the store is reported only if relayed state is out of date, too', () => {
  const observed = createPrefix();
  observed.applyUpdate(updateOf({ isComplete: true }), performance.now());
  takeCalls();
  observed.storeListener.lost('refused');
  expect(takeCalls()).toEqual([]);
  jest.advanceTimersByTime(1_700);
  observed.storeListener.lost('refused');
  expect(takeCalls()).toEqual(['lost now']);
});

test('old relayed state is applied, but confirms nothing', () => {
  const observed = createPrefix();
  observed.applyUpdate(updateOf({ isComplete: true }), performance.now() - 1_700);
  expect(takeCalls()).toEqual(['replaced 0@10']);
});

// Announcements that lapse in an outage come back after it; without this, followers drop all targets.
test('a loss of the reader is reported before the removals that follow it', () => {
  const reader = createPrefix();
  reader.storeListener.replaced([entry], 9);
  reader.storeListener.confirmed(9);
  const follower = createPrefix();
  follower.applyUpdate(
    updateOf({ isComplete: true, changes: [entry], revision: 9, ...reader.lastLoss }),
    performance.now(),
  );
  takeCalls();
  reader.storeListener.lost('refused');
  jest.advanceTimersByTime(1_200);
  reader.storeListener.removed('servers/t', 10);
  reader.storeListener.confirmed(10);
  takeCalls();
  jest.advanceTimersByTime(300);
  const changes = [{ key: 'servers/t', value: undefined, revision: 10 }];
  const update = updateOf({ changes, ...reader.lastLoss });
  follower.applyUpdate(update, performance.now());
  expect(takeCalls()).toEqual(['lost 1200', 'removed servers/t@10', 'confirmed 10']);
  follower.applyUpdate(updateOf({ ...reader.lastLoss }), performance.now() + 1);
  expect(takeCalls()).toEqual(['confirmed 10']);
});

test('a list of a store that has lost its history counts unless readers say otherwise', () => {
  const observed = createPrefix();
  observed.storeListener.replaced([entry], 90);
  observed.storeListener.replaced([entry], 9);
  expect(takeCalls()).toEqual(['replaced 1@90', 'replaced 1@9']);
  expect(observed.resets).toBe(1);
  observed.applyUpdate(updateOf({ revision: 20 }), performance.now());
  takeCalls();
  observed.storeListener.replaced([], 19);
  expect(takeCalls()).toEqual([]);
});

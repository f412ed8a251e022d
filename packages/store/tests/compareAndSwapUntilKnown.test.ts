import { StoreStandIn } from '@limpetnotch/stand-ins';
import fc from 'fast-check';
import { compareAndSwapUntilKnown, createEtcdStore } from '../src';
import type { KeyValueStore } from '../src';
import { errorOf, valueOf } from './unwrap';

const SEED = 20_261_204;
const SHORT_BACKOFF = { firstMilliseconds: 1, maximumMilliseconds: 4 };

let standIn: StoreStandIn;
let store: KeyValueStore;

beforeEach(async () => {
  standIn = new StoreStandIn();
  await standIn.start();
  store = createEtcdStore({ endpoints: [standIn.server.address], requestTimeoutMilliseconds: 300 });
});

afterEach(async () => {
  await store.close();
  await standIn.stop();
});

const swap = (key: string, expectedRevision: number, value: string, signal?: AbortSignal) =>
  compareAndSwapUntilKnown({
    store,
    request: { key, expectedRevision, value },
    isOwnWrite: (entry) => entry.value === value,
    signal: signal ?? new AbortController().signal,
    backoff: SHORT_BACKOFF,
  });

test('detects that a write with a lost response took effect', async () => {
  await standIn.setFaults({ loseAnswers: 1 });
  const swapped = valueOf(await swap('a', 0, 'mine'));
  expect(swapped).toEqual({ kind: 'swapped', revision: standIn.state.revision });
  expect(standIn.state.revision).toBe(2);
});

test('retries the write if the request was lost', async () => {
  await standIn.setFaults({ loseRequests: 1 });
  expect(valueOf(await swap('a', 0, 'mine')).kind).toBe('swapped');
  expect(valueOf(await store.read('a'))?.value).toBe('mine');
});

test('reports that a write with a lost response may have been overwritten', async () => {
  await standIn.setFaults({ loseAnswers: 1 });
  const overwriting: KeyValueStore = Object.assign(Object.create(store) as KeyValueStore, {
    read: (key: string) => {
      standIn.state.put(Buffer.from(key).toString('base64'), 'b3RoZXI=', '0');
      return store.read(key);
    },
    compareAndSwap: store.compareAndSwap.bind(store),
  });
  const outcome = await compareAndSwapUntilKnown({
    store: overwriting,
    request: { key: 'a', expectedRevision: 0, value: 'mine' },
    isOwnWrite: (entry) => entry.value === 'mine',
    signal: new AbortController().signal,
    backoff: SHORT_BACKOFF,
  });
  expect(valueOf(outcome)).toMatchObject({ kind: 'conflict', mayHaveTakenEffect: true });
});

test('reports a conflict without effect if every response arrived', async () => {
  await swap('a', 0, 'theirs');
  const outcome = valueOf(await swap('a', 0, 'mine'));
  expect(outcome).toMatchObject({ kind: 'conflict', mayHaveTakenEffect: false });
});

test('retries during an outage until the signal aborts', async () => {
  await standIn.setFaults({ outage: 'unavailable' });
  const controller = new AbortController();
  const trying = swap('a', 0, 'mine', controller.signal);
  while (standIn.statistics().calls.transaction < 3) await new Promise(setImmediate);
  controller.abort();
  expect(errorOf(await trying).kind).toBe('unavailable');
});

test('swaps once and in order under any sequence of faults', async () => {
  const faultArbitrary = fc.constantFrom('none', 'loseAnswers', 'loseRequests', 'limited');
  await fc.assert(
    fc.asyncProperty(fc.uuid(), fc.array(faultArbitrary, { maxLength: 6 }), async (key, faults) => {
      let revision = 0;
      for (const [index, fault] of faults.entries()) {
        await standIn.setFaults({
          loseAnswers: fault === 'loseAnswers' ? 1 : 0,
          loseRequests: fault === 'loseRequests' ? 2 : 0,
          outage: fault === 'limited' ? 'unavailable' : 'none',
        });
        const swapping = swap(key, revision, `value ${index}`);
        if (fault === 'limited') await standIn.setFaults({ outage: 'none' });
        const outcome = valueOf(await swapping);
        if (outcome.kind !== 'swapped') throw new Error(`conflict after ${fault}`);
        revision = outcome.revision;
      }
      const stored = standIn.state.get(Buffer.from(key).toString('base64'));
      expect(stored?.version ?? 0).toBe(faults.length);
    }),
    { seed: SEED, numRuns: 40 },
  );
});

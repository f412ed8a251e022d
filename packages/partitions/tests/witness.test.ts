import { MemoryMetrics } from '@limpetnotch/observability';
import { encodeLog } from '../src/deferredLog';
import type { Member } from '../src/member';
import { Witness } from '../src/witness';

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const OWNER: Member = {
  instance: 'instance-0',
  incarnation: 'incarnation-0',
  peerAddress: '127.0.0.1:9000',
  availabilityZone: 'zone-a',
  leaving: false,
};

const createWitness = (): Witness =>
  new Witness({
    incarnation: 'witness',
    holdMilliseconds: 3_000,
    metrics: new MemoryMetrics(),
    isStoreReachable: () => false,
    knownEpoch: () => 0,
  });

const createRequest = (epoch: number, witness = 'witness') => ({
  partition: 0,
  epoch,
  owner: OWNER,
  holdMilliseconds: 3_000,
  deferredRecords: encodeLog({
    position: { witness, epoch, committed: 4, first: 4, request: 1 },
    texts: ['"kept"'],
  }),
});

test('a promise delays a newer epoch until it expires, and the records are passed on', async () => {
  const witness = createWitness();
  await jest.advanceTimersByTimeAsync(10_000);
  expect(witness.confirm(createRequest(1))).toEqual({ kind: 'confirmed' });
  const notice = { partition: 0, epoch: 2, owner: OWNER };
  await jest.advanceTimersByTimeAsync(2_000);
  expect(witness.handleTakeover(notice)).toEqual({ kind: 'held', forMilliseconds: 1_000 });
  await jest.advanceTimersByTimeAsync(1_000);
  const noted = witness.handleTakeover(notice);
  expect(noted).toMatchObject({ kind: 'noted', deferredRecords: [expect.anything(), '"kept"'] });
  expect(witness.confirm(createRequest(1))).toEqual({ kind: 'refused', newestEpoch: 2 });
});

test('a restarted witness waits one lease time and refuses requests to its last incarnation', async () => {
  const witness = createWitness();
  const notice = { partition: 0, epoch: 2, owner: OWNER };
  expect(witness.handleTakeover(notice)).toEqual({ kind: 'held', forMilliseconds: 3_000 });
  await jest.advanceTimersByTimeAsync(3_000);
  expect(witness.confirm(createRequest(1, 'last-start'))).toMatchObject({ kind: 'refused' });
  expect(witness.handleTakeover(notice)).toMatchObject({ kind: 'noted' });
});

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

const requestOf = (epoch: number, witness = 'witness') => ({
  partition: 0,
  epoch,
  owner: OWNER,
  holdMilliseconds: 3_000,
  deferredRecords: encodeLog({
    position: { witness, epoch, committed: 4, first: 4, request: 1 },
    texts: ['"kept"'],
  }),
});

test('a promise holds off a newer epoch for its time, and the records are passed on', async () => {
  const witness = createWitness();
  await jest.advanceTimersByTimeAsync(10_000);
  expect(witness.confirm(requestOf(1))).toEqual({ kind: 'confirmed' });
  const notice = { partition: 0, epoch: 2, owner: OWNER };
  await jest.advanceTimersByTimeAsync(2_000);
  expect(witness.note(notice)).toEqual({ kind: 'held', forMilliseconds: 1_000 });
  await jest.advanceTimersByTimeAsync(1_000);
  const noted = witness.note(notice);
  expect(noted).toMatchObject({ kind: 'noted', deferredRecords: [expect.anything(), '"kept"'] });
  expect(witness.confirm(requestOf(1))).toEqual({ kind: 'refused', newestEpoch: 2 });
});

test('a restarted witness waits a lease time and confirms no list that names its last start', async () => {
  const witness = createWitness();
  const notice = { partition: 0, epoch: 2, owner: OWNER };
  expect(witness.note(notice)).toEqual({ kind: 'held', forMilliseconds: 3_000 });
  await jest.advanceTimersByTimeAsync(3_000);
  expect(witness.confirm(requestOf(1, 'last-start'))).toMatchObject({ kind: 'refused' });
  expect(witness.note(notice)).toMatchObject({ kind: 'noted' });
});

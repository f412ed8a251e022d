import { RateOwner, SLICE_LIFETIME_MILLISECONDS } from '@limpetnotch/admission';
import type { SliceDemand, SliceGrant } from '@limpetnotch/admission';
import type { Rate } from '@limpetnotch/declarations';
import { MemoryMetrics } from '@limpetnotch/observability';

beforeEach(() => {
  jest.useFakeTimers({ now: 1_000_000 });
});

afterEach(() => {
  jest.useRealTimers();
});

let rate: Rate | undefined;
let mayAct: boolean;

const createOwner = (grantsFromMilliseconds: number): RateOwner => {
  rate = { requestsPerSecond: 10, burst: 20 };
  mayAct = true;
  const metrics = new MemoryMetrics();
  return new RateOwner({
    rateOf: () => rate,
    grantsFromMilliseconds,
    mayAct: () => mayAct,
    metrics,
  });
};

const demand = (wanted: number, more: Partial<SliceDemand> = {}): SliceDemand => ({
  organisation: 'amman',
  wanted,
  serviceTokens: 0,
  held: 0,
  lastGrant: 0,
  ...more,
});

const exchangeOne = (
  owner: RateOwner,
  entry: string,
  ...demanded: Parameters<typeof demand>
): SliceGrant => owner.exchange(entry, [demand(...demanded)])[0]!;

test('grants nothing before its start or while it may not act, then starts empty', () => {
  const owner = createOwner(1_002_000);
  expect(owner.exchange('a', [demand(1)])).toEqual([]);
  jest.advanceTimersByTime(2_000);
  expect(exchangeOne(owner, 'a', 1).granted).toBe(0);
  jest.advanceTimersByTime(500);
  expect(exchangeOne(owner, 'a', 9).granted).toBe(5);
  mayAct = false;
  expect(owner.exchange('a', [demand(1)])).toEqual([]);
});

test('a forward step of the wall clock does not advance the start of grants', () => {
  const owner = createOwner(1_002_000);
  jest.setSystemTime(1_010_000);
  expect(owner.exchange('a', [demand(1)])).toEqual([]);
});

test('lent tokens occupy the bucket until their slice expires or they are reported as used', () => {
  const owner = createOwner(0);
  jest.advanceTimersByTime(2_000);
  const { grant, granted } = exchangeOne(owner, 'a', 20);
  expect(granted).toBe(20);
  jest.advanceTimersByTime(SLICE_LIFETIME_MILLISECONDS - 100);
  expect(exchangeOne(owner, 'b', 1)).toMatchObject({ granted: 0, retryAfterMilliseconds: 201 });
  exchangeOne(owner, 'b', 0, { lastGrant: grant });
  exchangeOne(owner, 'a', 0, { lastGrant: grant - 1 });
  exchangeOne(owner, 'a', 0, { lastGrant: grant, held: 20 });
  exchangeOne(owner, 'a', 0, { lastGrant: grant, held: Number.NaN });
  jest.advanceTimersByTime(99);
  expect(exchangeOne(owner, 'b', 1).granted).toBe(0);
  exchangeOne(owner, 'a', 0, { lastGrant: grant, held: 4 });
  jest.advanceTimersByTime(100);
  expect(exchangeOne(owner, 'b', 9).granted).toBe(0);
  jest.advanceTimersByTime(350);
  expect(exchangeOne(owner, 'b', 9).granted).toBe(4);
});

test('a changed rate creates no tokens, and a lower burst applies immediately', () => {
  const owner = createOwner(0);
  jest.advanceTimersByTime(2_000);
  expect(exchangeOne(owner, 'a', 20).granted).toBe(20);
  rate = { requestsPerSecond: 10, burst: 1_000 };
  expect(exchangeOne(owner, 'a', 9).granted).toBe(0);
  jest.advanceTimersByTime(SLICE_LIFETIME_MILLISECONDS + 100);
  expect(exchangeOne(owner, 'a', 99).granted).toBe(4);
  jest.advanceTimersByTime(5_000);
  rate = { requestsPerSecond: 10, burst: 2 };
  expect(exchangeOne(owner, 'a', 99).granted).toBe(2);
  rate = undefined;
  expect(owner.exchange('a', [demand(1)])).toEqual([]);
});

test('each entry receives the service that others report', () => {
  const owner = createOwner(0);
  expect(exchangeOne(owner, 'a', 0, { serviceTokens: 70 }).remoteServiceTokens).toBe(0);
  expect(exchangeOne(owner, 'b', 0, { serviceTokens: 5 }).remoteServiceTokens).toBe(70);
  expect(exchangeOne(owner, 'b', 0, { serviceTokens: 5 }).remoteServiceTokens).toBe(0);
  expect(exchangeOne(owner, 'a', 0).remoteServiceTokens).toBe(10);
});

test('removes idle organisations with full buckets, and grants invalid demands nothing', () => {
  const owner = createOwner(0);
  jest.advanceTimersByTime(2_000);
  for (let count = 0; count < 100; count += 1) {
    owner.exchange('a', [demand(1, { organisation: `organisation-${count}` })]);
  }
  expect(owner.size).toBe(100);
  jest.advanceTimersByTime(10_000);
  const odd = [Number.NaN, -1, Number.POSITIVE_INFINITY, 0.5].map((wanted) => demand(wanted));
  for (let count = 0; count < 20; count += 1) {
    expect(owner.exchange('a', odd).every(({ granted }) => granted === 0)).toBe(true);
  }
  expect(owner.size).toBe(1);
});

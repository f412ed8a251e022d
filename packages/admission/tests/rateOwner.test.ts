import { RateOwner, SLICE_LIFE_MILLISECONDS } from '@limpetnotch/admission';
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

const ownerFrom = (grantsFromMilliseconds: number): RateOwner => {
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

const ask = (owner: RateOwner, entry: string, ...demanded: Parameters<typeof demand>): SliceGrant =>
  owner.exchange(entry, [demand(...demanded)])[0]!;

test('grants nothing before its time or while it may not act, then starts empty', () => {
  const owner = ownerFrom(1_002_000);
  expect(owner.exchange('a', [demand(1)])).toEqual([]);
  jest.advanceTimersByTime(2_000);
  expect(ask(owner, 'a', 1).granted).toBe(0);
  jest.advanceTimersByTime(500);
  expect(ask(owner, 'a', 9).granted).toBe(5);
  mayAct = false;
  expect(owner.exchange('a', [demand(1)])).toEqual([]);
});

test('a clock of the day that steps forward does not bring the grants forward', () => {
  const owner = ownerFrom(1_002_000);
  jest.setSystemTime(1_010_000);
  expect(owner.exchange('a', [demand(1)])).toEqual([]);
});

test('lent tokens take up room in the bucket until their slice ends or is reported used', () => {
  const owner = ownerFrom(0);
  jest.advanceTimersByTime(2_000);
  const { grant, granted } = ask(owner, 'a', 20);
  expect(granted).toBe(20);
  jest.advanceTimersByTime(SLICE_LIFE_MILLISECONDS - 100);
  expect(ask(owner, 'b', 1)).toMatchObject({ granted: 0, retryAfterMilliseconds: 201 });
  ask(owner, 'b', 0, { lastGrant: grant });
  ask(owner, 'a', 0, { lastGrant: grant - 1 });
  ask(owner, 'a', 0, { lastGrant: grant, held: 20 });
  ask(owner, 'a', 0, { lastGrant: grant, held: Number.NaN });
  jest.advanceTimersByTime(99);
  expect(ask(owner, 'b', 1).granted).toBe(0);
  ask(owner, 'a', 0, { lastGrant: grant, held: 4 });
  jest.advanceTimersByTime(100);
  expect(ask(owner, 'b', 9).granted).toBe(0);
  jest.advanceTimersByTime(350);
  expect(ask(owner, 'b', 9).granted).toBe(4);
});

test('a changed rate makes no tokens, and a lower burst holds at once', () => {
  const owner = ownerFrom(0);
  jest.advanceTimersByTime(2_000);
  expect(ask(owner, 'a', 20).granted).toBe(20);
  rate = { requestsPerSecond: 10, burst: 1_000 };
  expect(ask(owner, 'a', 9).granted).toBe(0);
  jest.advanceTimersByTime(SLICE_LIFE_MILLISECONDS + 100);
  expect(ask(owner, 'a', 99).granted).toBe(4);
  jest.advanceTimersByTime(5_000);
  rate = { requestsPerSecond: 10, burst: 2 };
  expect(ask(owner, 'a', 99).granted).toBe(2);
  rate = undefined;
  expect(owner.exchange('a', [demand(1)])).toEqual([]);
});

test('each entry hears the service that others gave', () => {
  const owner = ownerFrom(0);
  expect(ask(owner, 'a', 0, { serviceTokens: 70 }).remoteServiceTokens).toBe(0);
  expect(ask(owner, 'b', 0, { serviceTokens: 5 }).remoteServiceTokens).toBe(70);
  expect(ask(owner, 'b', 0, { serviceTokens: 5 }).remoteServiceTokens).toBe(0);
  expect(ask(owner, 'a', 0).remoteServiceTokens).toBe(10);
});

test('drops organisations once they are idle and full, and odd demands get nothing', () => {
  const owner = ownerFrom(0);
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

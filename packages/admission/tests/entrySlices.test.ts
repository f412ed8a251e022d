import { RateLimiter } from '@limpetnotch/admission';
import type { AdmissionError, SliceDemand, SliceGrant } from '@limpetnotch/admission';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { ResultAsync } from 'neverthrow';

const rate = { requestsPerSecond: 10, burst: 20 };
const stop = new AbortController();
let demands: SliceDemand[];
let grant: Partial<SliceGrant>;
let answerMilliseconds: number;
let group: string | undefined;
let limiter: RateLimiter;

const exchange = async (demanded: readonly SliceDemand[]): Promise<readonly SliceGrant[]> => {
  const answer = demanded.map(({ organisation, wanted }) => ({
    organisation,
    grant: demands.push(...demanded),
    granted: wanted,
    expiresInMilliseconds: 300,
    retryAfterMilliseconds: 0,
    remoteServiceTokens: 0,
    ...grant,
  }));
  await delay(answerMilliseconds);
  return answer;
};

beforeEach(() => {
  jest.useFakeTimers({ now: 1_000_000 });
  demands = [];
  grant = {};
  answerMilliseconds = 1;
  group = 'owner';
  limiter = new RateLimiter({
    source: { exchange: (_group, demanded) => ResultAsync.fromSafePromise(exchange(demanded)) },
    rateOf: (organisation) => (organisation === 'gone' ? undefined : rate),
    groupOf: () => group,
    logger: silentLogger,
    metrics: new MemoryMetrics(),
  });
});

afterEach(() => {
  jest.useRealTimers();
});

/** Sends a request; returns whether it was admitted within the given time, or its error. */
const outcomeWithin = async (
  milliseconds: number,
  signal = stop.signal,
  organisation = 'amman',
): Promise<true | AdmissionError | undefined> => {
  let outcome: true | AdmissionError | undefined;
  void limiter.acquire(organisation, signal).match(
    () => {
      outcome = true;
    },
    (error) => {
      outcome = error;
    },
  );
  await jest.advanceTimersByTimeAsync(milliseconds);
  return outcome;
};

test("a slice's lifetime counts from the sending of its demand", async () => {
  grant = { granted: 5 };
  answerMilliseconds = 100;
  expect(await outcomeWithin(100)).toBe(true);
  await jest.advanceTimersByTimeAsync(199);
  expect(await outcomeWithin(0)).toBe(true);
  await jest.advanceTimersByTimeAsync(1);
  expect(await outcomeWithin(0)).toBeUndefined();
  await jest.advanceTimersByTimeAsync(200);
  expect(demands.map(({ held, lastGrant }) => [held, lastGrant])).toEqual([
    [0, 0],
    [0, 1],
  ]);
});

test('slices expire while the machine is suspended', async () => {
  grant = { granted: 5 };
  expect(await outcomeWithin(10)).toBe(true);
  jest.setSystemTime(Date.now() + 300);
  expect(await outcomeWithin(0)).toBeUndefined();
});

test('an answer after the deadline is discarded with its grant', async () => {
  grant = { granted: 5 };
  answerMilliseconds = 250;
  expect(await outcomeWithin(300)).toBeUndefined();
  answerMilliseconds = 1;
  grant = { granted: 1 };
  await jest.advanceTimersByTimeAsync(100);
  expect(await outcomeWithin(0)).toBeUndefined();
  expect(demands.at(-1)).toMatchObject({ held: 0, lastGrant: 0 });
});

test('requests wait for an owner, or are rejected with a retry time', async () => {
  group = undefined;
  setTimeout(() => {
    group = 'owner';
  }, 5_000);
  expect(await outcomeWithin(4_999)).toBeUndefined();
  expect(await outcomeWithin(100)).toBe(true);
  group = undefined;
  expect(await outcomeWithin(10_100)).toEqual({
    kind: 'rate-exceeded',
    retryAfterMilliseconds: 1_000,
  });
});

test('a request that its owner cannot serve in time is rejected immediately', async () => {
  grant = { granted: 0, retryAfterMilliseconds: 900 };
  const refused = { kind: 'rate-exceeded', retryAfterMilliseconds: 900 };
  expect(await outcomeWithin(5)).toEqual(refused);
  expect(await outcomeWithin(0)).toMatchObject({ retryAfterMilliseconds: 896 });
  expect(demands).toHaveLength(1);
});

test('after a long owner outage, requests of all organisations wait for slow grants', async () => {
  group = undefined;
  setTimeout(() => {
    group = 'owner';
  }, 1_500);
  expect(await outcomeWithin(1_600)).toBe(true);
  grant = { granted: 0, retryAfterMilliseconds: 900 };
  expect(await outcomeWithin(500, stop.signal, 'zarqa')).toBeUndefined();
  await jest.advanceTimersByTimeAsync(10_000);
  expect(await outcomeWithin(5, stop.signal, 'irbid')).toMatchObject({ kind: 'rate-exceeded' });
});

test('an aborted request leaves the queue; undeclared organisations are rejected', async () => {
  answerMilliseconds = 50;
  const caller = new AbortController();
  const waiting = outcomeWithin(0, caller.signal);
  caller.abort();
  expect(await waiting).toMatchObject({ kind: 'rate-exceeded' });
  expect(await outcomeWithin(0, stop.signal, 'gone')).toEqual({ kind: 'key-unknown' });
});

test('reports service once, and receives the reports of others', async () => {
  const reports: [string, number][] = [];
  const remove = limiter.onRemoteService((...service) => reports.push(service));
  limiter.reportService('amman', 70);
  limiter.reportService('amman', 5);
  grant = { remoteServiceTokens: 9 };
  await jest.advanceTimersByTimeAsync(150);
  remove();
  expect(await outcomeWithin(50)).toBe(true);
  expect(demands.map(({ serviceTokens }) => serviceTokens)).toEqual([75, 0]);
  expect(reports).toEqual([['amman', 9]]);
});

test('idle organisations are removed without messages; a stop rejects requests', async () => {
  const task = new AbortController();
  const ended = limiter.asChild().run({ signal: task.signal, ready: () => undefined });
  expect(await outcomeWithin(10)).toBe(true);
  await jest.advanceTimersByTimeAsync(20_000);
  expect([limiter.size, demands.length]).toEqual([0, 1]);
  group = undefined;
  const waiting = outcomeWithin(10);
  task.abort();
  expect(await waiting).toMatchObject({ kind: 'rate-exceeded' });
  expect(await outcomeWithin(0)).toMatchObject({ kind: 'rate-exceeded' });
  await ended;
});

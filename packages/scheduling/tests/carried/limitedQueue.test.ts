import { SeededRandom } from '@limpetnotch/stand-ins';
import type { LimitedRequest, LimitedThroughput } from '../../src/carried/limitedQueue';
import { LimitedQueue } from '../../src/carried/limitedQueue';

interface Named extends LimitedRequest {
  readonly name: string;
}

const request = (name: string, change: Partial<LimitedRequest> = {}): Named => ({
  name,
  isUnderWay: true,
  priority: 0,
  finishAtMilliseconds: 3_000,
  waitUntilMilliseconds: 1_000,
  arrivedAtMilliseconds: 0,
  organisationShare: 0,
  ...change,
});

const at = (nowMilliseconds: number, requestsPerSecond = 10): LimitedThroughput => ({
  nowMilliseconds,
  requestsPerSecond,
  firstMilliseconds: 0,
});

const takeAll = (queue: LimitedQueue<Named>): readonly string[] =>
  Array.from({ length: queue.size }, () => queue.takeFirst()?.name ?? '');

test('programs under way go first, the nearest to its end before the others', () => {
  const queue = new LimitedQueue<Named>();
  [
    request('new', { isUnderWay: false }),
    request('late', { finishAtMilliseconds: -1 }),
    request('far', { finishAtMilliseconds: 9_000 }),
    request('near', { finishAtMilliseconds: 500 }),
    request('low', { priority: 2, finishAtMilliseconds: 100 }),
  ].forEach((one) => queue.add(one, at(0)));
  expect(takeAll(queue)).toEqual(['near', 'far', 'low', 'late', 'new']);
});

test('organisations take turns in starting programs', () => {
  const queue = new LimitedQueue<Named>();
  const start = { isUnderWay: false };
  queue.add(request('busy', { ...start, organisationShare: 5 }), at(0));
  queue.add(request('quiet', { ...start, organisationShare: 1 }), at(0));
  expect(takeAll(queue)).toEqual(['quiet', 'busy']);
});

test('a request that can not be sent in time is refused immediately', () => {
  const queue = new LimitedQueue<Named>();
  const waits = { waitUntilMilliseconds: 250 };
  const refused = ['a', 'b', 'c', 'd'].flatMap((name) => queue.add(request(name, waits), at(0)));
  expect(refused.map(({ name }) => name)).toEqual(['d']);
});

test('a more important request displaces the last one that can no longer be sent in time', () => {
  const queue = new LimitedQueue<Named>();
  const start = { isUnderWay: false, waitUntilMilliseconds: 150 };
  queue.add(request('first', start), at(0));
  queue.add(request('second', start), at(0));
  const refused = queue.add(request('under way'), at(0));
  expect(refused.map(({ name }) => name)).toEqual(['second']);
});

test('requests without an objective keep the order of their arrival', () => {
  const queue = new LimitedQueue<Named>();
  const plain = { finishAtMilliseconds: Infinity };
  ['a', 'b', 'c'].forEach((name) => queue.add(request(name, plain), at(0)));
  expect(takeAll(queue)).toEqual(['a', 'b', 'c']);
});

// Load pattern: limits take a fifth of the demand for some seconds.
test('under a fifth of the capacity, accepted requests are sent in time', () => {
  const random = new SeededRandom(33);
  const queue = new LimitedQueue<Named>();
  const throughput = 20;
  let waited = 0;
  let sent = 0;
  let refusedLate = 0;
  for (let now = 0; now < 20_000; now += 10) {
    const arrivedAtMilliseconds = now;
    const isUnderWay = random.chance(0.8);
    const finishAtMilliseconds = now + random.integer(300, 3_000);
    const waitUntilMilliseconds = now + 300;
    const change = {
      isUnderWay,
      finishAtMilliseconds,
      waitUntilMilliseconds,
      arrivedAtMilliseconds,
    };
    const refused = queue.add(request(String(now), change), at(now, throughput));
    refusedLate += refused.filter((one) => now - one.arrivedAtMilliseconds > 300).length;
    const next = now % (1_000 / throughput) === 0 ? queue.takeFirst() : undefined;
    if (next) {
      sent += 1;
      waited = Math.max(waited, now - next.arrivedAtMilliseconds);
    }
  }
  expect(sent).toBeGreaterThanOrEqual(0.95 * 20 * throughput);
  expect(waited).toBeLessThanOrEqual(300);
  expect(refusedLate).toBe(0);
});

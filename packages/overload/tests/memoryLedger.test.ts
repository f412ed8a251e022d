import type { HoldingKind, LedgerHolding, MemoryBounds } from '../src';
import { MemoryLedger } from '../src';

const BOUNDS: MemoryBounds = {
  totalBytes: 1_000,
  kindBytes: { request: 600, response: 600, peer: 500, cache: 300 },
  sourceBytes: 300,
};

let ledger: MemoryLedger;
let stopped: string[];
let runningNames: Set<string>;

beforeEach(() => {
  ledger = new MemoryLedger(BOUNDS);
  stopped = [];
  runningNames = new Set();
});

const hold = (
  name: string,
  bytes: number,
  { kind = 'request', source = name }: { kind?: HoldingKind; source?: string } = {},
): LedgerHolding => {
  const holding = ledger.open({
    kind,
    source,
    isRunning: () => runningNames.has(name),
    stop: () => stopped.push(name),
  });
  holding.charge(bytes);
  return holding;
};

// The oldest request would be ended for a caller that has just begun a larger one.
test('the largest request is stopped first, and of equal ones the newest', () => {
  hold('small', 100);
  hold('first', 250);
  hold('second', 250);
  hold('late', 50);
  expect(stopped).toEqual(['second']);
  expect(ledger.totalBytes).toBe(400);
});

test('a running request is never stopped', () => {
  runningNames.add('running');
  hold('running', 500);
  const large = hold('large', 400);
  expect(stopped).toEqual(['large']);
  expect(large.isOpen).toBe(false);
  hold('other-running', 90);
  runningNames.add('other-running');
  hold('third', 20);
  expect(stopped).toEqual(['large', 'third']);
});

// One address with many small requests would push out the single large one of another.
test('a source above its share loses its requests before others', () => {
  hold('single', 200);
  for (let index = 0; index < 5; index += 1) hold(`crowd-${index}`, 80, { source: 'crowd' });
  hold('late', 10);
  expect(stopped).toEqual(['crowd-4']);
});

test('a full kind leaves room for others until the total is reached', () => {
  runningNames.add('responses');
  hold('responses', 600, { kind: 'response' });
  hold('request', 400);
  expect(stopped).toEqual([]);
  hold('cache', 100, { kind: 'cache' });
  expect(stopped).toEqual(['request']);
});

test('a charge that must not stop anything is declined at the bound', () => {
  hold('request', 500);
  const cache = ledger.open({
    kind: 'cache',
    source: 'cache',
    isRunning: () => false,
    stop: () => stopped.push('cache'),
  });
  expect(cache.tryCharge(301)).toBe(false);
  expect(cache.tryCharge(300)).toBe(true);
  expect(stopped).toEqual([]);
});

test('a stopped or closed holding frees its bytes once', () => {
  const first = hold('first', 500);
  hold('second', 200);
  expect(stopped).toEqual(['first']);
  first.release(500);
  first.close();
  first.charge(50);
  expect(ledger.totalBytes).toBe(200);
  const third = hold('third', 100);
  third.release(1_000);
  expect(ledger.totalBytes).toBe(200);
});

test('a report names the source that holds the most', () => {
  hold('one', 100, { source: 'north' });
  hold('two', 100, { source: 'north' });
  hold('three', 150, { source: 'south', kind: 'peer' });
  expect(ledger.report()).toMatchObject({
    totalBytes: 350,
    holdings: 3,
    kindBytes: { request: 200, peer: 150 },
    largestSource: 'north',
    largestSourceBytes: 200,
  });
});

// Bytes that are counted twice or never released would refuse all callers in the end.
test('the total equals the open holdings after any sequence', () => {
  let seed = 7;
  const draw = (limit: number): number => {
    seed = (seed * 1_103_515_245 + 12_345) % 2 ** 31;
    return seed % limit;
  };
  const open: LedgerHolding[] = [];
  for (let step = 0; step < 5_000; step += 1) {
    const chosen = open[draw(open.length + 1)];
    switch (draw(5)) {
      case 0:
        open.push(hold(`h${draw(6)}`, draw(200)));
        break;
      case 1:
        chosen?.charge(draw(200));
        break;
      case 2:
        chosen?.release(draw(200));
        break;
      case 3:
        chosen?.close();
        break;
      default:
        if (draw(2) === 0) runningNames.add(`h${draw(6)}`);
        else runningNames.clear();
    }
    const sum = open.reduce((total, { bytes }) => total + bytes, 0);
    expect(ledger.totalBytes).toBe(sum);
  }
});

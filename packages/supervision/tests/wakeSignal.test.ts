import { getEventListeners } from 'node:events';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { WakeSignal } from '../src/wakeSignal';

const WAITS = 20_000;

/** Far less than a promise that each wait would leave behind. */
const MAXIMUM_BYTES_PER_WAIT = 100;

let signal: WakeSignal;
let end: AbortController;

beforeEach(() => {
  signal = new WakeSignal();
  end = new AbortController();
});

const measureHeap = (): number => {
  setFlagsFromString('--expose-gc');
  const collect: unknown = runInNewContext('gc');
  if (typeof collect === 'function') collect();
  return process.memoryUsage().heapUsed;
};

test('a wait ends when it is woken', async () => {
  const waiting = signal.wait(end.signal);
  signal.wake();
  await waiting;
  expect(getEventListeners(end.signal, 'abort')).toEqual([]);
});

test('a wait ends with its signal', async () => {
  const waiting = signal.wait(end.signal);
  end.abort();
  await waiting;
  await signal.wait(end.signal);
});

test('a wake does not end a later wait', async () => {
  signal.wake();
  let hasEnded = false;
  const waiting = signal.wait(end.signal).then(() => {
    hasEnded = true;
  });
  await new Promise(setImmediate);
  expect(hasEnded).toBe(false);
  signal.wake();
  await waiting;
});

// Each wait of a task kept some hundred bytes until the process ended.
test('waits leave no memory behind', async () => {
  const before = measureHeap();
  for (let count = 0; count < WAITS; count += 1) {
    const waiting = signal.wait(end.signal);
    signal.wake();
    await waiting;
  }
  expect((measureHeap() - before) / WAITS).toBeLessThan(MAXIMUM_BYTES_PER_WAIT);
});

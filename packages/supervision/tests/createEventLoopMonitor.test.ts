import type { LogFields, Logger } from '@limpetnotch/observability';
import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { createEventLoopMonitor } from '../src';

const STALL_MILLISECONDS = 5_000;

beforeEach(() => jest.useFakeTimers());
afterEach(() => jest.useRealTimers());

const start = () => {
  const lines: LogFields[] = [];
  const logger: Logger = {
    ...silentLogger,
    warn: (message, fields) => lines.push({ message, ...fields }),
  };
  const metrics = new MemoryMetrics();
  const processor = { milliseconds: 0 };
  const controller = new AbortController();
  const { run } = createEventLoopMonitor({
    logger,
    metrics,
    readProcessorMilliseconds: () => processor.milliseconds,
  });
  const ended = run({ signal: controller.signal, ready: () => undefined });
  return { lines, metrics, processor, controller, ended };
};

/** Lets time pass without running timers, as a callback that does not return does. */
const stall = async (milliseconds: number): Promise<void> => {
  jest.spyOn(performance, 'now').mockReturnValue(performance.now() + milliseconds);
  await jest.advanceTimersByTimeAsync(250);
  jest.restoreAllMocks();
};

test('a loop that runs on time is not reported', async () => {
  const { lines } = start();
  await jest.advanceTimersByTimeAsync(10_000);
  expect(lines).toEqual([]);
});

test('a stall in which the process computed is reported as busy', async () => {
  const { lines, metrics, processor } = start();
  await jest.advanceTimersByTimeAsync(1_000);
  processor.milliseconds += STALL_MILLISECONDS;
  await stall(STALL_MILLISECONDS);
  expect(lines).toEqual([
    expect.objectContaining({ message: 'event-loop.stalled', cause: 'busy' }),
  ]);
  expect(metrics.counter('event-loop.stall', { cause: 'busy' })).toBe(1);
});

test('a process that did not run is reported as paused', async () => {
  const { lines } = start();
  await jest.advanceTimersByTimeAsync(1_000);
  await stall(STALL_MILLISECONDS);
  expect(lines).toEqual([expect.objectContaining({ cause: 'paused' })]);
});

test('the monitor ends with its signal', async () => {
  const { controller, ended } = start();
  controller.abort();
  await expect(ended).resolves.toBeUndefined();
});

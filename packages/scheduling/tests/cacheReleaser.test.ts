import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { errAsync, okAsync } from 'neverthrow';
import type { CacheOrderError, CacheRelease } from '../src/cacheRelease';
import { CacheReleaser } from '../src/cacheReleaser';

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

const release = (changes: Partial<CacheRelease> = {}): CacheRelease => ({
  organisation: 'north',
  rootProgram: 'survey',
  target: 'one',
  address: 'http://127.0.0.1:9000',
  epoch: 7,
  fencing: 'obeyed',
  formerOwnerMilliseconds: 3_000,
  ...changes,
});

const start = (results: (CacheOrderError | 'freed')[]) => {
  const ordered: string[] = [];
  const freed: string[] = [];
  const releaser = new CacheReleaser({
    port: {
      freeSession: ({ rootProgram }) => {
        ordered.push(rootProgram);
        const result = results.shift() ?? 'freed';
        return result === 'freed' ? okAsync(undefined) : errAsync(result);
      },
    },
    logger: silentLogger,
    metrics: new MemoryMetrics(),
    onFreed: ({ rootProgram }) => freed.push(rootProgram),
  });
  const controller = new AbortController();
  const finished = releaser.asChild().run({ signal: controller.signal, ready: () => undefined });
  const stop = async (): Promise<void> => {
    controller.abort();
    await finished;
  };
  return { releaser, ordered, freed, stop };
};

test('an order to an engine that ignores fencing waits out the former owner', async () => {
  const { releaser, freed, stop } = start([]);
  releaser.add(release({ fencing: 'ignored' }));
  await jest.advanceTimersByTimeAsync(2_999);
  expect(freed).toEqual([]);
  await jest.advanceTimersByTimeAsync(1);
  expect(freed).toEqual(['survey']);
  await stop();
});

test('a waiting order does not delay others', async () => {
  const { releaser, freed, stop } = start([]);
  releaser.add(release({ fencing: 'ignored' }));
  await jest.advanceTimersByTimeAsync(10);
  releaser.add(release({ rootProgram: 'estimate' }));
  await jest.advanceTimersByTimeAsync(10);
  expect(freed).toEqual(['estimate']);
  await stop();
});

test('retries after an exponential delay until the engine confirms', async () => {
  const failed: CacheOrderError = { kind: 'failed', detail: 'unreachable' };
  const { releaser, ordered, freed, stop } = start([failed, failed]);
  releaser.add(release());
  await jest.advanceTimersByTimeAsync(599);
  expect(ordered).toHaveLength(2);
  await jest.advanceTimersByTimeAsync(1);
  expect(freed).toEqual(['survey']);
  expect(releaser.size).toBe(0);
  await stop();
});

test('a newer owner ends the order', async () => {
  const { releaser, ordered, freed, stop } = start([{ kind: 'superseded' }]);
  releaser.add(release());
  await jest.advanceTimersByTimeAsync(60_000);
  expect(ordered).toHaveLength(1);
  expect(freed).toEqual([]);
  expect(releaser.size).toBe(0);
  await stop();
});

test('orders survive a restart of the task', async () => {
  const { releaser, stop } = start([]);
  await stop();
  releaser.add(release());
  expect(releaser.size).toBe(1);
  const controller = new AbortController();
  void releaser.asChild().run({ signal: controller.signal, ready: () => undefined });
  await jest.advanceTimersByTimeAsync(0);
  expect(releaser.size).toBe(0);
  controller.abort();
});

import { Deferred, delay } from '@limpetnotch/supervision';
import { VirtualClock } from '../src/experiments/virtualClock';

test('runs tasks in the order of their times, and restores the runtime clock', async () => {
  const clock = new VirtualClock();
  const realNow = performance.now;
  const seen: string[] = [];
  const recordAfter = async (name: string, milliseconds: number): Promise<void> => {
    await delay(milliseconds);
    seen.push(`${name} ${performance.now()}`);
  };
  await clock.run(async () => {
    await Promise.all([
      recordAfter('late', 3_600_000),
      recordAfter('first', 10),
      recordAfter('second', 10),
    ]);
  });
  expect(seen).toEqual(['first 10', 'second 10', 'late 3600000']);
  expect(performance.now).toBe(realNow);
});

test('a cleared timer does not run', async () => {
  const seen: string[] = [];
  await new VirtualClock().run(async () => {
    clearTimeout(setTimeout(() => seen.push('cleared'), 5));
    await delay(10);
  });
  expect(seen).toEqual([]);
});

test('a task that can never continue fails', async () => {
  const forever = new VirtualClock().run(() => new Deferred().promise);
  await expect(forever).rejects.toThrow('no events are scheduled');
});

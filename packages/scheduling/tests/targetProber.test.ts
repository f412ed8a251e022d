import { TargetProber } from '../src/targetProber';
import { acquireSlot, answeredOutcome, scheduledCall, startScheduler } from './fixtures';

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

test('failed probes eject a target, and successful ones restore it', async () => {
  const { scheduler } = startScheduler({ targets: { one: { window: 1 }, two: { window: 8 } } });
  const healthy = new Map([['one', false]]);
  const probed: string[] = [];
  const prober = new TargetProber({
    scheduler,
    intervalMilliseconds: 1_000,
    port: {
      probe: ({ name }) => {
        probed.push(name);
        return Promise.resolve(healthy.get(name) ?? true);
      },
    },
  });
  const controller = new AbortController();
  const finished = prober.asChild().run({ signal: controller.signal, ready: () => undefined });
  await jest.advanceTimersByTimeAsync(3_000);
  const grants = await Promise.all([1, 2, 3].map(() => acquireSlot(scheduler, scheduledCall())));
  expect(grants.map(({ target }) => target)).toEqual(['two', 'two', 'two']);
  healthy.set('one', true);
  await jest.advanceTimersByTimeAsync(20_000);
  expect((await acquireSlot(scheduler, scheduledCall())).target).toBe('one');
  controller.abort();
  await finished;
  expect(probed).toContain('two');
});

test('does not probe a target with recent successful calls', async () => {
  const { scheduler } = startScheduler();
  (await acquireSlot(scheduler, scheduledCall({ excludedTargets: ['two'] }))).release(
    answeredOutcome,
  );
  expect(scheduler.targetsToProbe().map(({ name }) => name)).toEqual(['two']);
  jest.advanceTimersByTime(1_000);
  expect(scheduler.targetsToProbe()).toHaveLength(2);
});

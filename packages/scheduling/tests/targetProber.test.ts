import { TargetProber } from '../src/targetProber';
import { acquired, answered, scheduledCall, startScheduler } from './fixtures';

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

test('failed probes eject a target, good ones bring it back', async () => {
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
  const grants = await Promise.all([1, 2, 3].map(() => acquired(scheduler, scheduledCall())));
  expect(grants.map(({ target }) => target)).toEqual(['two', 'two', 'two']);
  healthy.set('one', true);
  await jest.advanceTimersByTimeAsync(20_000);
  expect((await acquired(scheduler, scheduledCall())).target).toBe('one');
  controller.abort();
  await finished;
  expect(probed).toContain('two');
});

test('a target that answers calls needs no probe', async () => {
  const { scheduler } = startScheduler();
  (await acquired(scheduler, scheduledCall({ excludedTargets: ['two'] }))).release(answered);
  expect(scheduler.targetsToProbe().map(({ name }) => name)).toEqual(['two']);
  jest.advanceTimersByTime(1_000);
  expect(scheduler.targetsToProbe()).toHaveLength(2);
});

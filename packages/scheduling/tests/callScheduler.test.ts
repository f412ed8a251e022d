import fc from 'fast-check';
import type { TargetGrant } from '../src/targetGrant';
import {
  acquireSlot,
  answeredOutcome,
  neverAborted,
  expectRefusal,
  scheduledCall,
  startScheduler,
} from './fixtures';

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

const oneTarget = { one: { window: 1 } };

/** Runs the waiting calls one after another and returns their names in the order of the grants. */
const serveAll = async (
  waiting: readonly { readonly name: string; readonly grant: Promise<TargetGrant> }[],
): Promise<readonly string[]> => {
  const granted: { readonly name: string; readonly grant: TargetGrant }[] = [];
  waiting.forEach(({ name, grant }) => {
    void grant.then((held) => granted.push({ name, grant: held }));
  });
  for (let served = 0; served < waiting.length; served += 1) {
    await jest.advanceTimersByTimeAsync(1_000);
    granted[served]?.grant.release(answeredOutcome);
  }
  await jest.advanceTimersByTimeAsync(0);
  return granted.map(({ name }) => name);
};

test('grants a slot at once while there is room', async () => {
  const { scheduler } = startScheduler();
  const grant = await acquireSlot(scheduler, scheduledCall());
  expect(['one', 'two']).toContain(grant.target);
  expect(grant.queuedMilliseconds).toBe(0);
  expect(grant.resumable).toBe(true);
});

test('never exceeds the window', async () => {
  const { scheduler } = startScheduler({ targets: { one: { window: 2 }, two: { window: 3 } } });
  const underWay = new Map<string, number>();
  const calls = Array.from({ length: 40 }, () => scheduledCall());
  const runs = calls.map(async (call, index) => {
    const grant = await acquireSlot(scheduler, call);
    const now = (underWay.get(grant.target) ?? 0) + 1;
    underWay.set(grant.target, now);
    expect(now).toBeLessThanOrEqual(grant.target === 'one' ? 2 : 3);
    await jest.advanceTimersByTimeAsync(index % 7);
    underWay.set(grant.target, (underWay.get(grant.target) ?? 0) - 1);
    grant.release(answeredOutcome);
  });
  await jest.advanceTimersByTimeAsync(60_000);
  await Promise.all(runs);
});

test('serves organisations by weight', async () => {
  const { scheduler } = startScheduler({ targets: oneTarget, weights: { north: 3, south: 1 } });
  const held = await acquireSlot(scheduler, scheduledCall());
  const waiting = ['north', 'south'].flatMap((organisation) =>
    Array.from({ length: 20 }, () => ({
      name: organisation,
      grant: acquireSlot(scheduler, scheduledCall({ organisation })),
    })),
  );
  await jest.advanceTimersByTimeAsync(0);
  held.release(answeredOutcome);
  const order = await serveAll(waiting);
  const north = order.slice(0, 24).filter((name) => name === 'north').length;
  expect(north).toBeGreaterThanOrEqual(17);
  expect(north).toBeLessThanOrEqual(19);
});

test('starves no call under any arrival pattern', async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.tuple(fc.constantFrom('north', 'south'), fc.integer({ min: 0, max: 5 })), {
        minLength: 1,
        maxLength: 40,
      }),
      async (load) => {
        const { scheduler } = startScheduler({ targets: oneTarget });
        const waiting = load.map(([organisation, program], index) => ({
          name: String(index),
          grant: acquireSlot(
            scheduler,
            scheduledCall({ organisation, rootProgram: `program-${program}` }),
          ),
        }));
        const order = await serveAll(waiting);
        expect(new Set(order).size).toBe(load.length);
        scheduler.stop();
      },
    ),
    { seed: 6, numRuns: 15 },
  );
});

test('a program with much attained service waits behind a new one until its call has aged', async () => {
  const { scheduler } = startScheduler({ targets: oneTarget }, { agingMilliseconds: 5_000 });
  const large = await acquireSlot(scheduler, scheduledCall({ rootProgram: 'large' }));
  large.release({ ...answeredOutcome, promptTokens: 500_000 });
  const held = await acquireSlot(scheduler, scheduledCall());
  const old = {
    name: 'large',
    grant: acquireSlot(scheduler, scheduledCall({ rootProgram: 'large' })),
  };
  const fresh = { name: 'new', grant: acquireSlot(scheduler, scheduledCall()) };
  await jest.advanceTimersByTimeAsync(100);
  held.release(answeredOutcome);
  expect(await serveAll([old, fresh])).toEqual(['new', 'large']);

  const next = await acquireSlot(scheduler, scheduledCall());
  const aged = {
    name: 'large',
    grant: acquireSlot(scheduler, scheduledCall({ rootProgram: 'large' })),
  };
  await jest.advanceTimersByTimeAsync(60_000);
  const late = { name: 'new', grant: acquireSlot(scheduler, scheduledCall()) };
  next.release(answeredOutcome);
  expect(await serveAll([aged, late])).toEqual(['large', 'new']);
});

test('refuses a call to a full queue with the time in which the queue drains', async () => {
  const { scheduler } = startScheduler({ targets: oneTarget, maximumQueuedCalls: 4 });
  let held = await acquireSlot(scheduler, scheduledCall());
  const waiting = Array.from({ length: 4 }, () => acquireSlot(scheduler, scheduledCall()));
  for (const next of waiting.slice(0, 3)) {
    await jest.advanceTimersByTimeAsync(2_000);
    held.release(answeredOutcome);
    held = await next;
    void acquireSlot(scheduler, scheduledCall());
  }
  const refusal = await expectRefusal(scheduler, scheduledCall());
  expect(refusal.problem).toBe('queue-full');
  expect(refusal.retryAfterMilliseconds).toBe(8_000);
});

test('refuses a cancelled call at once', async () => {
  const { scheduler } = startScheduler({ targets: oneTarget });
  await acquireSlot(scheduler, scheduledCall());
  const controller = new AbortController();
  const waiting = expectRefusal(scheduler, scheduledCall(), controller.signal);
  controller.abort();
  expect((await waiting).problem).toBe('cancelled');
});

test('the deadline of the route ends the wait', async () => {
  const { scheduler } = startScheduler({ targets: oneTarget, route: { deadlineSeconds: 10 } });
  await acquireSlot(scheduler, scheduledCall());
  const waiting = expectRefusal(scheduler, scheduledCall());
  await jest.advanceTimersByTimeAsync(10_050);
  expect((await waiting).problem).toBe('queue-full');
});

test('a call that cannot be served before its deadline is refused early', async () => {
  const { scheduler } = startScheduler({ targets: oneTarget, route: { deadlineSeconds: 10 } });
  const held = await acquireSlot(scheduler, scheduledCall());
  const next = acquireSlot(scheduler, scheduledCall());
  void scheduler.acquire(scheduledCall(), neverAborted);
  void scheduler.acquire(scheduledCall(), neverAborted);
  await jest.advanceTimersByTimeAsync(6_000);
  held.release(answeredOutcome);
  await next;
  expect((await expectRefusal(scheduler, scheduledCall())).retryAfterMilliseconds).toBe(12_000);
});

test('refuses a call if all targets are leaving or serve other models', async () => {
  const { scheduler } = startScheduler({
    targets: {
      one: { state: 'leaving' },
      two: { backend: { kind: 'engine', models: ['large'], fencing: 'obeyed', resumable: true } },
    },
  });
  const refusal = await expectRefusal(scheduler, scheduledCall());
  expect(refusal.problem).toBe('no-target');
});

test('a retry prefers another target', async () => {
  const { scheduler } = startScheduler();
  const grant = await acquireSlot(scheduler, scheduledCall({ excludedTargets: ['one'] }));
  expect(grant.target).toBe('two');
});

test('the next call of a program follows its cached prefix, until the load is skewed', async () => {
  const { scheduler } = startScheduler({ targets: { one: { window: 64 }, two: { window: 64 } } });
  const prefix = [{ digest: 'history', tokens: 5_000 }];
  const first = await acquireSlot(scheduler, scheduledCall({ prefix }));
  first.release(answeredOutcome);
  const others = Array.from({ length: 20 }, () =>
    acquireSlot(scheduler, scheduledCall({ prefix: [...prefix, { digest: 'next', tokens: 100 }] })),
  );
  const targets = (await Promise.all(others)).map(({ target }) => target);
  expect(targets[0]).toBe(first.target);
  expect(new Set(targets).size).toBe(2);
});

test('borrows only an equal share of the free slots that a report shows', async () => {
  const { scheduler } = startScheduler({ targets: { one: { window: 8 } } });
  scheduler.setFleet(['instance-1', 'instance-2']);
  const tryAcquire = async (): Promise<boolean> => {
    let granted = false;
    void acquireSlot(scheduler, scheduledCall()).then(() => {
      granted = true;
    });
    await jest.advanceTimersByTimeAsync(100);
    return granted;
  };
  const report = { target: 'one', queuedCalls: 0, queuedTokens: 0, ageMilliseconds: 0 };
  for (let call = 0; call < 4; call += 1) expect(await tryAcquire()).toBe(true);
  scheduler.reportLoad({ ...report, runningCalls: 7 });
  expect(await tryAcquire()).toBe(false);
  scheduler.reportLoad({ ...report, runningCalls: 4 });
  await jest.advanceTimersByTimeAsync(100);
  expect(await tryAcquire()).toBe(true);
  expect(await tryAcquire()).toBe(false);
});

test('counts service provided by other instances', async () => {
  const { scheduler } = startScheduler({ targets: oneTarget });
  const held = await acquireSlot(scheduler, scheduledCall({ organisation: 'south' }));
  const waiting = ['north', 'south'].map((organisation) => ({
    name: organisation,
    grant: acquireSlot(scheduler, scheduledCall({ organisation })),
  }));
  scheduler.addRemoteService('north', 50_000);
  held.release(answeredOutcome);
  expect(await serveAll(waiting)).toEqual(['south', 'north']);
  expect(scheduler.takeLocalService('south')).toBe(2 * (1_000 + 400));
  expect(scheduler.takeLocalService('south')).toBe(0);
});

test('a response clears earlier crashes of a request', async () => {
  const { scheduler } = startScheduler();
  const call = scheduledCall({ requestDigest: 'sound' });
  (await acquireSlot(scheduler, call)).release({ kind: 'broken' });
  (await acquireSlot(scheduler, { ...call, callId: 'second' })).release(answeredOutcome);
  const third = { ...call, callId: 'third', excludedTargets: ['one'] };
  (await acquireSlot(scheduler, third)).release({ kind: 'broken' });
  expect(scheduler.listQuarantine()).toEqual([]);
});

test('quarantines a request that was running during two crashes', async () => {
  const { scheduler } = startScheduler();
  const seen: string[] = [];
  scheduler.onQuarantineChange(({ requestDigest }) => seen.push(requestDigest));
  const call = scheduledCall({ requestDigest: 'deadly' });
  (await acquireSlot(scheduler, call)).release({ kind: 'broken' });
  expect(scheduler.mayRetry(call, 1)).toBe(true);
  const retry = { ...call, excludedTargets: ['one'] };
  (await acquireSlot(scheduler, retry)).release({ kind: 'broken' });
  const again = { ...call, callId: 'again', excludedTargets: ['two'] };
  const result = await scheduler.acquire(again, neverAborted);
  if (result.isOk()) result.value.release({ kind: 'broken' });
  expect(scheduler.mayRetry(again, 1)).toBe(false);
  const refusal = await expectRefusal(scheduler, again);
  expect(refusal.problem).toBe('quarantined');
  expect(scheduler.listQuarantine().map(({ requestDigest }) => requestDigest)).toEqual(['deadly']);
  expect(seen).toContain('deadly');
  expect(scheduler.liftQuarantine('deadly')).toBe(true);
  expect((await scheduler.acquire(again, neverAborted)).isOk()).toBe(true);
});

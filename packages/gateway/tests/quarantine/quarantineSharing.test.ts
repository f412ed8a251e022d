import { SeededRandom } from '@limpetnotch/stand-ins';
import { QuarantineFleet } from './quarantineFleet';

/** Required bound on the time until all instances have quarantined a request. */
const PROPAGATION_MILLISECONDS = 3_000;
const SETTLE_MILLISECONDS = 100;
/** Required bound on runs that start later than that after the third crash. */
const MAXIMUM_LATE_CRASHES = 3;

let fleet: QuarantineFleet;

const start = (instances: number): void => {
  fleet = new QuarantineFleet(instances);
};

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  fleet.stop();
  jest.useRealTimers();
});

const crashAt = async (...instances: readonly number[]): Promise<void> => {
  for (const index of instances) {
    await fleet.crash(index);
    await jest.advanceTimersByTimeAsync(SETTLE_MILLISECONDS);
  }
};

const expectQuarantinedEverywhere = async (): Promise<void> => {
  const stages = await fleet.waitForStage('quarantined', PROPAGATION_MILLISECONDS);
  expect(new Set(stages)).toEqual(new Set(['quarantined']));
};

test('crashes at three instances are shared with all instances', async () => {
  start(4);
  await crashAt(0, 1, 2);
  await expectQuarantinedEverywhere();
});

test('crashes at three of 68 instances are shared with all instances', async () => {
  start(68);
  await crashAt(5, 33, 60);
  await expectQuarantinedEverywhere();
});

test('the first crash is only sent to a few instances', async () => {
  start(390);
  await crashAt(5);
  expect(fleet.callCount).toBe(6);
  expect(fleet.store.writes).toBe(0);
});

test('crashes are shared with all instances during a store outage, and stored later', async () => {
  start(8);
  fleet.store.isDown = true;
  await crashAt(0, 1, 2);
  await expectQuarantinedEverywhere();
  fleet.store.isDown = false;
  await jest.advanceTimersByTimeAsync(1_000);
  expect(fleet.store.entries).toHaveLength(1);
});

test('an instance that is isolated from the others is updated through the store', async () => {
  start(4);
  fleet.isolated.add(3);
  await crashAt(0, 1, 2);
  await expectQuarantinedEverywhere();
});

test('crashes at an instance that is isolated from the others count', async () => {
  start(4);
  fleet.isolated.add(3);
  await crashAt(3, 0, 1);
  await expectQuarantinedEverywhere();
});

test('an instance that cannot reach the store is updated by the others', async () => {
  start(4);
  fleet.withoutStore.add(3);
  await crashAt(0, 1, 2);
  await expectQuarantinedEverywhere();
});

test('an instance that starts later loads the quarantine', async () => {
  start(4);
  await crashAt(0, 1, 2);
  await expectQuarantinedEverywhere();
  fleet.restart(3);
  await expectQuarantinedEverywhere();
});

test('all instances load the quarantine after all were killed', async () => {
  start(4);
  await crashAt(0, 1, 2);
  await expectQuarantinedEverywhere();
  [0, 1, 2, 3].forEach((index) => fleet.restart(index));
  await expectQuarantinedEverywhere();
});

test('an instance that starts during a store outage is updated at the next crash', async () => {
  start(4);
  await crashAt(0, 1, 2);
  await expectQuarantinedEverywhere();
  fleet.store.isDown = true;
  fleet.restart(3);
  await crashAt(3);
  await expectQuarantinedEverywhere();
});

test('a request that is served anywhere is cleared everywhere', async () => {
  start(12);
  await crashAt(0, 1);
  await fleet.serve(7);
  const stages = await fleet.waitForStage('clear', PROPAGATION_MILLISECONDS);
  expect(new Set(stages)).toEqual(new Set(['clear']));
  await crashAt(2);
  expect(fleet.stages()).not.toContain('quarantined');
});

test('a request that is continually served elsewhere is not blamed for crashes', async () => {
  start(4);
  for (let crashes = 0; crashes < 6; crashes += 1) {
    await fleet.serve(3);
    await crashAt(crashes % 3);
  }
  expect(fleet.stages()).not.toContain('quarantined');
});

test('other requests are not blamed', async () => {
  start(4);
  await crashAt(0, 1, 2);
  await expectQuarantinedEverywhere();
  expect(new Set(fleet.stages('sound'))).toEqual(new Set(['clear']));
});

test.each(Array.from({ length: 60 }, (_value, index) => index + 1))(
  'connected instances send the request at most three more times: seed %i',
  async (seed) => {
    const random = new SeededRandom(seed);
    const count = random.integer(2, 20);
    start(count);
    const anInstance = (): number => random.integer(0, count - 1);
    const disturbances = [
      () => fleet.toggleStore(),
      () => fleet.restart(anInstance()),
      () => fleet.toggle(fleet.isolated, anInstance()),
      () => fleet.toggle(fleet.withoutStore, anInstance()),
    ];
    let thirdCrashAt = Infinity;
    let crashes = 0;
    let late = 0;
    for (let sent = 0; sent < 60; sent += 1) {
      const index = anInstance();
      if (random.chance(0.2)) random.pick(disturbances)();
      if (fleet.stages()[index] !== 'quarantined') {
        const isBounded = performance.now() > thirdCrashAt + PROPAGATION_MILLISECONDS;
        if (isBounded && fleet.isConnected(index)) late += 1;
        await fleet.crash(index);
        crashes += 1;
        if (crashes === 3) thirdCrashAt = performance.now();
      }
      await jest.advanceTimersByTimeAsync(random.integer(100, 1_500));
    }
    expect(crashes).toBeGreaterThanOrEqual(3);
    expect(late).toBeLessThanOrEqual(MAXIMUM_LATE_CRASHES);
  },
);

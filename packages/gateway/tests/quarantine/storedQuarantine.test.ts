import { liftStoredQuarantine, listStoredQuarantine } from '../../src/quarantine/storedQuarantine';
import { QuarantineFleet } from './quarantineFleet';

const SETTLE_MILLISECONDS = 100;

let fleet: QuarantineFleet;

beforeEach(async () => {
  jest.useFakeTimers();
  fleet = new QuarantineFleet(4);
  for (const index of [0, 1, 2]) {
    await fleet.crash(index);
    await jest.advanceTimersByTimeAsync(SETTLE_MILLISECONDS);
  }
});

afterEach(() => {
  fleet.stop();
  jest.useRealTimers();
});

const listEntries = async () => (await listStoredQuarantine(fleet.store.client))._unsafeUnwrap();

test('lists a request with its crashes', async () => {
  const [entry] = await listEntries();
  expect(entry?.crashes).toHaveLength(3);
  expect(await listEntries()).toHaveLength(1);
});

test('a lift applies to all instances until the request crashes targets again', async () => {
  const [entry] = await listEntries();
  const lifted = await liftStoredQuarantine(fleet.store.client, entry!.requestDigest);
  expect(lifted._unsafeUnwrap()).toBe('lifted');
  expect(await fleet.waitForStage('clear', SETTLE_MILLISECONDS)).toEqual(Array(4).fill('clear'));
  expect(await listEntries()).toEqual([]);
  for (const index of [0, 1, 2]) {
    await fleet.crash(index);
    await jest.advanceTimersByTimeAsync(SETTLE_MILLISECONDS);
  }
  expect(fleet.stages()).toEqual(Array(4).fill('quarantined'));
});

test('a request that is not under suspicion is not found', async () => {
  const lifted = await liftStoredQuarantine(fleet.store.client, 'unknown');
  expect(lifted._unsafeUnwrap()).toBe('not-found');
});

test('an unavailable store is reported as an error', async () => {
  fleet.store.isDown = true;
  expect((await liftStoredQuarantine(fleet.store.client, 'unknown')).isErr()).toBe(true);
  expect((await listStoredQuarantine(fleet.store.client)).isErr()).toBe(true);
});

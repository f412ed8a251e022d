import { silentLogger } from '@limpetnotch/observability';
import { FakeStore } from '@limpetnotch/turns/tests/support/fakeStore';
import type { FleetCodec } from '../../src';
import { RetirementReporter } from '../../src/fleet/retirementReporter';

const DONE = 'done';

const codec: Pick<FleetCodec, 'encodeRetired'> = {
  encodeRetired: (instance) => ({ key: `answers/${instance}`, value: DONE }),
};

let store: FakeStore;

const createReporter = (connection = { isDown: false }, rank = 0): RetirementReporter =>
  new RetirementReporter({
    store: store.connect(connection),
    codec: codec as FleetCodec,
    logger: silentLogger,
    rank: () => rank,
  });

beforeEach(() => {
  store = new FakeStore();
});

test('a storage instance is reported as empty where no instance ever stored anything', async () => {
  await createReporter().report('s-1');
  expect(store.get('answers/s-1')).toBe(DONE);
});

// The machine is removed with its disk immediately after the report.
test.each([
  ['an instance is present', 'limpetnotch/storage/s-2'],
  ['the retired instance is present', 'limpetnotch/storage/s-1'],
  ['an absent instance may hold turns', 'limpetnotch/storage-member/s-1'],
  ['another absent instance may hold turns', 'limpetnotch/storage-member/s-2'],
])('no report is written while %s', async (_title, key) => {
  store.put(key, '{}');
  await createReporter().report('s-1');
  expect(store.get('answers/s-1')).toBeUndefined();
});

test('no report is written while the store cannot be listed', async () => {
  const connection = { isDown: true };
  const reported = createReporter(connection).report('s-1');
  await new Promise((resolve) => {
    setTimeout(resolve, 100);
  });
  store.put('limpetnotch/storage-member/s-1', '{}');
  connection.isDown = false;
  await reported;
  expect(store.get('answers/s-1')).toBeUndefined();
});

test('a report of another instance is kept', async () => {
  await createReporter().report('s-1');
  await createReporter({ isDown: false }, 1).report('s-1');
  expect(store.get('answers/s-1')).toBe(DONE);
});

import { ByteBudget } from '../../src/storage/byteBudget';
import { CopyCounts } from '../../src/storage/copyCounts';
import { splitBatches } from '../../src/storage/splitBatches';

const createBudget = (waiters = 4): ByteBudget =>
  new ByteBudget({ bytes: 100, waiters, waitMilliseconds: 50 });

test('calls beyond the budget wait for room, in order', async () => {
  const budget = createBudget();
  expect(await budget.acquire(80)).toBe(true);
  const order: number[] = [];
  const waiting = [60, 30].map((bytes) =>
    budget.acquire(bytes).then((isGranted) => {
      if (isGranted) order.push(bytes);
    }),
  );
  budget.release(80);
  await Promise.all(waiting);
  expect([order, budget.heldBytes]).toEqual([[60, 30], 90]);
});

test('a call is refused without room in time, or with too many others waiting', async () => {
  const budget = createBudget(1);
  await budget.acquire(100);
  const waiting = budget.acquire(10);
  expect(await budget.acquire(10)).toBe(false);
  expect(await waiting).toBe(false);
  budget.release(100);
  expect(budget.heldBytes).toBe(0);
});

test('a call that is larger than the budget is accepted alone', async () => {
  const budget = createBudget();
  expect(await budget.acquire(500)).toBe(true);
  expect(await budget.acquire(1)).toBe(false);
  budget.release(500);
  expect(await budget.acquire(1)).toBe(true);
});

test('batches keep the order, and exceed the bytes only with a single item', () => {
  const batches = splitBatches([3, 9, 2, 2, 2], (size) => size, { bytes: 5, items: 2 });
  expect(batches).toEqual([[3], [9], [2, 2], [2]]);
  expect(splitBatches([], () => 1, { bytes: 5, items: 2 })).toEqual([]);
});

test('turns with few copies are found with an instance that has them', () => {
  const counts = new CopyCounts();
  const createKey = (id: string) => ({ organisation: 'north', id, program: '' }) as never;
  counts.add('first', [createKey('1'), createKey('2')]);
  counts.add('second', [createKey('2'), createKey('3')]);
  const few = [...counts.listFewerThan(2)].map(([address, keys]) => [
    address,
    keys.map(({ id }) => id),
  ]);
  expect(few).toEqual([
    ['first', ['1']],
    ['second', ['3']],
  ]);
});

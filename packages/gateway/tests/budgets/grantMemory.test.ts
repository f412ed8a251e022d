import { GrantMemory } from '../../src/budgets/grantMemory';

test('a budget is promised to one process only', () => {
  const memory = new GrantMemory('a/1', true);
  expect(memory.promise('key', 'b/1')).toBe(true);
  expect(memory.promise('key', 'b/1')).toBe(true);
  expect(memory.promise('key', 'b/2')).toBe(false);
  expect(memory.promise('key')).toBe(false);
  expect(memory.mayHaveStarted('key')).toBe(true);
  expect(memory.mayHaveStarted('key', 'b/1')).toBe(false);
});

test('a program that has started is promised to no process', () => {
  const memory = new GrantMemory('a/1', true);
  memory.recordStart('key');
  expect(memory.promise('key', 'b/1')).toBe(false);
});

test('a memory that is not complete makes no promise', () => {
  const memory = new GrantMemory('a/1', false);
  expect(memory.promise('key', 'b/1')).toBe(false);
  memory.markComplete();
  expect(memory.promise('key', 'b/1')).toBe(true);
  expect(memory.listPromises(0)).toEqual([{ budgetKey: 'key', process: 'b/1' }]);
});

test('learned promises are passed on, but not one to the process itself', () => {
  const memory = new GrantMemory('a/1', true);
  memory.learnPromise({ budgetKey: 'other', process: 'b/1' });
  memory.learnPromise({ budgetKey: 'own', process: 'a/1' });
  expect(memory.listPromises(0)).toEqual([{ budgetKey: 'other', process: 'b/1' }]);
  expect([memory.mayHaveStarted('other'), memory.mayHaveStarted('own')]).toEqual([true, false]);
});

test('a promise whose process an earlier version did not tell bars every process', () => {
  const memory = new GrantMemory('a/1', true);
  memory.learnPromise({ budgetKey: 'key', process: '' });
  expect(['a/1', 'b/1', ''].map((one) => memory.mayHaveStarted('key', one))).toEqual(
    Array(3).fill(true),
  );
});

test('promises to two processes bar both', () => {
  const memory = new GrantMemory('a/1', true);
  memory.promise('key', 'b/1');
  memory.learnPromise({ budgetKey: 'key', process: 'c/1' });
  expect(memory.promise('key', 'b/1')).toBe(false);
});

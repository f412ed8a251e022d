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

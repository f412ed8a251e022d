import { turnPriority } from '../../src/carried/turnPriority';

test('less time to the objective goes first', () => {
  const ranks = [300, 800, 1_500, 3_000, 9_000].map(turnPriority);
  expect(ranks).toEqual([...ranks].sort((first, second) => first - second));
  expect(new Set(ranks).size).toBe(5);
});

test('a program that is late lets all others pass', () => {
  expect(turnPriority(0)).toBeGreaterThan(turnPriority(60_000));
  expect(turnPriority(-5)).toBeGreaterThan(turnPriority(undefined));
});

test('a turn without an objective has the usual rank', () => {
  expect(turnPriority(undefined)).toBe(5);
});

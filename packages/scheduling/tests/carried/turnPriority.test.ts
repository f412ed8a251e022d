import { turnPriority } from '../../src/carried/turnPriority';

test('less remaining time to the objective takes precedence', () => {
  const ranks = [300, 800, 1_500, 3_000, 9_000].map(turnPriority);
  expect(ranks).toEqual([...ranks].sort((first, second) => first - second));
  expect(new Set(ranks).size).toBe(5);
});

test('a late program yields to all others', () => {
  expect(turnPriority(0)).toBeGreaterThan(turnPriority(60_000));
  expect(turnPriority(-5)).toBeGreaterThan(turnPriority(undefined));
});

test('a turn without an objective has the default priority', () => {
  expect(turnPriority(undefined)).toBe(5);
});

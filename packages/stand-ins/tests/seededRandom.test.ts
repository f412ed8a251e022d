import { SeededRandom } from '../src';

test.each([1, 2, 3, 1_000])('draws from the whole range after the small seed %i', (seed) => {
  const random = new SeededRandom(seed);
  const draws = Array.from({ length: 40 }, () => random.fraction());
  expect(Math.min(...draws)).toBeLessThan(0.2);
  expect(Math.max(...draws)).toBeGreaterThan(0.8);
  const first = Array.from({ length: 40 }, (_, index) => new SeededRandom(index + 1).fraction());
  expect(new Set(first).size).toBe(40);
  expect(Math.max(...first) - Math.min(...first)).toBeGreaterThan(0.5);
});

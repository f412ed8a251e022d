import { SeededRandom } from '@limpetnotch/stand-ins';
import { LimitPreference } from '../../src/carried/limitPreference';

// Load pattern: some targets take a quarter of the requests, and the sizes differ a lot.
test('the most expensive requests use the limits', () => {
  const random = new SeededRandom(1);
  const preference = new LimitPreference(() => random.fraction());
  const costs = Array.from({ length: 500 }, () => random.exponential(20));
  const preferred = costs.filter((cost) => preference.prefersLimit(cost, 0.25));
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  expect(preferred.length / costs.length).toBeCloseTo(0.3, 1);
  expect(mean(preferred)).toBeGreaterThan(2 * mean(costs));
});

test('requests of equal cost share the tokens', () => {
  const random = new SeededRandom(2);
  const preference = new LimitPreference(() => random.fraction());
  const preferred = Array.from({ length: 500 }, () => preference.prefersLimit(0, 0.25));
  expect(preferred.filter(Boolean).length / preferred.length).toBeCloseTo(0.3, 1);
});

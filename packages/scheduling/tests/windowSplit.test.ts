import fc from 'fast-check';
import { WindowSplit } from '../src/windowSplit';

const names = (count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `instance-${index}`);

const total = (target: string, window: number, instances: readonly string[]): number =>
  instances.reduce((sum, one) => sum + new WindowSplit(one, instances).share(target, window), 0);

test('shares sum up to the window', () => {
  fc.assert(
    fc.property(
      fc.string({ minLength: 1 }),
      fc.integer({ min: 1, max: 200 }),
      fc.integer({ min: 1, max: 40 }),
      (target, window, count) => total(target, window, names(count)) === window,
    ),
    { seed: 6, numRuns: 200 },
  );
});

test('shares differ by at most one slot', () => {
  const instances = names(4);
  const shares = instances.map((one) => new WindowSplit(one, instances).share('engine', 18));
  expect([...shares].sort((one, other) => one - other)).toEqual([4, 4, 5, 5]);
});

test('small windows of many targets spread over the fleet', () => {
  const instances = names(10);
  const split = new WindowSplit('instance-3', instances);
  const shares = Array.from({ length: 1_000 }, (_, index) => split.share(`target-${index}`, 2));
  const held = shares.reduce((sum, share) => sum + share, 0);
  expect(held).toBeGreaterThan(150);
  expect(held).toBeLessThan(250);
});

test('includes itself if the list does not', () => {
  expect(new WindowSplit('instance-9', names(3)).size).toBe(4);
});

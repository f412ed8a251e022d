import { computeProgramRetention } from '../../src/budgets/computeProgramRetention';

test.each([
  ['no route', [], 90_000],
  ['a route without one', [{}], 90_000],
  ['a short one', [{ retentionMilliseconds: 10_000 }], 90_000],
  ['the longest of several', [{ retentionMilliseconds: 300_000 }, {}], 330_000],
])('the retention of programs with %s', (_name, routes, milliseconds) => {
  expect(computeProgramRetention(routes)).toBe(milliseconds);
});

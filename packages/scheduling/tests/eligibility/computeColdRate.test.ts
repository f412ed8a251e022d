import { computeColdRate } from '../../src/eligibility/computeColdRate';

test.each([
  [26, 1.5, 5, 22.4],
  [26, 10, 5, 26],
  [26, 1, 0, 12.8],
  [1, 1, 0, 0.25],
])(
  'a rate of %d with the tolerance %d times and %d leads to %d',
  (rate, overage, slack, expected) => {
    const bounds = { coldOverage: overage, coldSlack: slack };
    expect(computeColdRate(rate, bounds)).toBeCloseTo(expected, 5);
  },
);

import type { EligibilityRules } from '../../src/eligibility/eligibilityRules';
import { computeIneligibleRetry } from '../../src/eligibility/computeIneligibleRetry';
import { decideEligibility } from '../../src/eligibility/decideEligibility';
import { isRegionAllowed } from '../../src/eligibility/isRegionAllowed';

const TARGETS = [
  { id: 't1', availabilityZone: 'a' },
  { id: 't2', availabilityZone: 'b' },
  { id: 't3', availabilityZone: 'c' },
  { id: 't4', availabilityZone: 'unlisted' },
];

const rules = (change: Partial<EligibilityRules>): EligibilityRules => ({
  evacuatedZones: new Set(),
  regions: new Map([
    ['a', 'north'],
    ['b', 'north'],
    ['c', 'south'],
  ]),
  allowedRegions: [],
  ...change,
});

const decide = (change: Partial<EligibilityRules>) => {
  const { eligible, ineligible } = decideEligibility(TARGETS, rules(change));
  return { eligible: eligible.map(({ id }) => id), ineligible: Object.fromEntries(ineligible) };
};

test('without rules every target is eligible', () => {
  expect(decide({})).toEqual({ eligible: ['t1', 't2', 't3', 't4'], ineligible: {} });
});

test('targets of an evacuated availability zone are not eligible', () => {
  expect(decide({ evacuatedZones: new Set(['b']) })).toEqual({
    eligible: ['t1', 't3', 't4'],
    ineligible: { t2: { kind: 'evacuated', availabilityZone: 'b' } },
  });
});

test('targets outside of the allowed regions, or of no known region, are not eligible', () => {
  expect(decide({ allowedRegions: [['north']] })).toEqual({
    eligible: ['t1', 't2'],
    ineligible: {
      t3: { kind: 'region-not-allowed', region: 'south' },
      t4: { kind: 'region-not-allowed', region: undefined },
    },
  });
});

test('the regions of the route and of the organisation both apply', () => {
  expect(decide({ allowedRegions: [['north', 'south'], ['south']] }).eligible).toEqual(['t3']);
  expect(decide({ allowedRegions: [['north'], ['south']] }).eligible).toEqual([]);
});

test('an evacuation and regions apply together', () => {
  const change = { evacuatedZones: new Set(['a']), allowedRegions: [['north']] };
  expect(decide(change).eligible).toEqual(['t2']);
});

// The names of zones come from the settings and the store, so they may equal those of object fields.
test('an availability zone with the name of an object field is in no region', () => {
  expect(isRegionAllowed(rules({ allowedRegions: [['north']] }), 'constructor')).toBe(false);
  expect(isRegionAllowed(rules({ allowedRegions: [['north']] }), undefined)).toBe(false);
  expect(isRegionAllowed(rules({}), undefined)).toBe(true);
});

test('the time to return is the shortest in which a change can come into force', () => {
  const bounds = { applyMilliseconds: 2_000, evacuationMilliseconds: 5_000 };
  const evacuated = { kind: 'evacuated', availabilityZone: 'a' } as const;
  const outside = { kind: 'region-not-allowed', region: 'south' } as const;
  expect(computeIneligibleRetry([evacuated], bounds)).toBe(5_000);
  expect(computeIneligibleRetry([evacuated, outside], bounds)).toBe(2_000);
});

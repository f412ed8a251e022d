import type { EligibilityRules } from './eligibilityRules';
import type { Ineligibility } from './ineligibility';
import { isRegionAllowed } from './isRegionAllowed';

/** A target, as far as its eligibility depends on it. */
export interface EligibilityCandidate {
  readonly id: string;
  readonly availabilityZone: string;
}

/** Targets that may get a request now, and why the others may not. */
export interface EligibilityDecision<Candidate> {
  readonly eligible: readonly Candidate[];
  /** Reasons by target id. */
  readonly ineligible: ReadonlyMap<string, Ineligibility>;
}

const findReason = (
  { availabilityZone }: EligibilityCandidate,
  rules: EligibilityRules,
): Ineligibility | undefined => {
  if (rules.evacuatedZones.has(availabilityZone)) return { kind: 'evacuated', availabilityZone };
  if (isRegionAllowed(rules, availabilityZone)) return undefined;
  return { kind: 'region-not-allowed', region: rules.regions.get(availabilityZone) };
};

/**
 * Decides which targets may get a request now. These rules bind before placement: load, affinity and
 * retries choose among eligible targets only. The rate of a cold target is not among them, as it
 * leaves room again within milliseconds; the limits of targets apply it.
 */
export const decideEligibility = <Candidate extends EligibilityCandidate>(
  candidates: readonly Candidate[],
  rules: EligibilityRules,
): EligibilityDecision<Candidate> => {
  const ineligible = new Map<string, Ineligibility>();
  if (rules.evacuatedZones.size === 0 && rules.allowedRegions.length === 0) {
    return { eligible: candidates, ineligible };
  }
  candidates.forEach((candidate) => {
    const reason = findReason(candidate, rules);
    if (reason) ineligible.set(candidate.id, reason);
  });
  return { eligible: candidates.filter(({ id }) => !ineligible.has(id)), ineligible };
};

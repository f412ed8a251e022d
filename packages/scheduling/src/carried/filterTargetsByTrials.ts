/** Properties of a target that determine which suspected and other requests may run there. */
export interface TrialCandidate {
  readonly id: string;
  /** Estimated running requests. */
  readonly estimatedLoad: number;
  /** Running requests that are under suspicion. */
  readonly trials: number;
}

/**
 * Restricts the targets that a request may use, to limit the damage when a request that crashes its
 * targets is sent repeatedly among others. A request under suspicion runs apart from other
 * suspected requests, at the targets with the least load; other requests avoid targets with
 * suspected ones. If every target runs a suspected request, none is avoided for that reason.
 */
export const filterTargetsByTrials = <Candidate extends TrialCandidate>(
  candidates: readonly Candidate[],
  isOnTrial: boolean,
): readonly Candidate[] => {
  const withoutTrials = candidates.filter(({ trials }) => trials === 0);
  const isolated = withoutTrials.length > 0 ? withoutTrials : candidates;
  if (!isOnTrial) return isolated;
  const leastLoad = Math.min(...isolated.map(({ estimatedLoad }) => estimatedLoad));
  return isolated.filter(({ estimatedLoad }) => estimatedLoad <= leastLoad);
};

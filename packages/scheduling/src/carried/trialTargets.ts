/** What decides where requests under suspicion run, and others beside them. */
export interface TrialCandidate {
  readonly id: string;
  /** Requests under way there, as estimated. */
  readonly estimatedLoad: number;
  /** Requests under suspicion that run there. */
  readonly trials: number;
}

/**
 * Narrows the targets that a request may go to. Load pattern: one request that crashes its targets
 * comes again and again amid others. One under suspicion runs apart from its like, where least is
 * under way; others keep clear of it. Where no such target is left, any will do.
 */
export const trialTargets = <Candidate extends TrialCandidate>(
  candidates: readonly Candidate[],
  isOnTrial: boolean,
): readonly Candidate[] => {
  const free = candidates.filter(({ trials }) => trials === 0);
  const apart = free.length > 0 ? free : candidates;
  if (!isOnTrial) return apart;
  const least = Math.min(...apart.map(({ estimatedLoad }) => estimatedLoad));
  return apart.filter(({ estimatedLoad }) => estimatedLoad <= least);
};

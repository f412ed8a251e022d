/** A connection as the choice of the one to close sees it. */
export interface EvictionCandidate {
  /** Whether a request of it is running; such a connection is never closed. */
  readonly isRunning: boolean;
  /** Whether a response has been sent on it completely. */
  readonly hasServed: boolean;
  readonly lastProgressMilliseconds: number;
}

const isBetter = (one: EvictionCandidate, other: EvictionCandidate): boolean =>
  one.hasServed === other.hasServed
    ? one.lastProgressMilliseconds < other.lastProgressMilliseconds
    : other.hasServed;

/**
 * Chooses the connection that makes room for a new one: one that has served nothing yet before one
 * that has, and the one longest without progress among these; undefined if all are running.
 */
export const chooseEvicted = <Candidate extends EvictionCandidate>(
  candidates: Iterable<Candidate>,
): Candidate | undefined => {
  let chosen: Candidate | undefined;
  for (const candidate of candidates) {
    if (!candidate.isRunning && (!chosen || isBetter(candidate, chosen))) chosen = candidate;
  }
  return chosen;
};

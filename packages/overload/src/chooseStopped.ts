import type { Holding } from './holding';

/** Holdings and how much of them has to be freed. */
export interface StopQuestion<Candidate extends Holding> {
  readonly holdings: Iterable<Candidate>;
  readonly excessBytes: number;
  /** Sources that hold more than this lose their holdings first. */
  readonly sourceBytes: number;
}

const sumBySource = (holdings: readonly Holding[]): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  holdings.forEach(({ source, bytes }) => sums.set(source, (sums.get(source) ?? 0) + bytes));
  return sums;
};

/**
 * Chooses what to stop so that the excess is freed: holdings of sources above their share first,
 * then the largest, and of equal ones the newest. A running request is never chosen, so that less
 * than the excess may be freed.
 */
export const chooseStopped = <Candidate extends Holding>({
  holdings,
  excessBytes,
  sourceBytes,
}: StopQuestion<Candidate>): readonly Candidate[] => {
  const candidates = [...holdings].filter(({ isRunning, bytes }) => !isRunning && bytes > 0);
  const sums = sumBySource(candidates);
  const isAboveShare = ({ source }: Holding): boolean => (sums.get(source) ?? 0) > sourceBytes;
  candidates.sort(
    (one, other) =>
      Number(isAboveShare(other)) - Number(isAboveShare(one)) ||
      other.bytes - one.bytes ||
      other.sequence - one.sequence,
  );
  const stopped: Candidate[] = [];
  let freed = 0;
  for (const candidate of candidates) {
    if (freed >= excessBytes) break;
    freed += candidate.bytes;
    stopped.push(candidate);
  }
  return stopped;
};

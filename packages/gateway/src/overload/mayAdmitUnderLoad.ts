/** A request that arrives while connections wait until this instance accepts them. */
export interface LoadedArrival {
  /** Time that a new connection waits until it is accepted, in milliseconds. */
  readonly waitMilliseconds: number;
  /** Time for which its caller waits for the answer, in milliseconds. */
  readonly patienceMilliseconds: number;
  /** Whether it would start a program, which sends further requests. */
  readonly isProgramStart: boolean;
}

/** Longest wait at which programs may start; the processor is then used up. */
const LONGEST_START_WAIT_MILLISECONDS = 40;

/**
 * Longest wait at which other requests are served, and its share of the time that the caller has.
 * Callers leave after a third of that time, and a request waits some more until it is read.
 */
const LONGEST_WAIT_MILLISECONDS = 350;
const LONGEST_WAIT_SHARE = 0.2;

/** Every request is admitted up to this wait. */
export const LEAST_REFUSED_WAIT_MILLISECONDS = LONGEST_START_WAIT_MILLISECONDS;

/**
 * Decides whether an instance serves a request while it is asked for more than its processor bears,
 * as when a neighbour is gone or right after a restart. New connections then queue in the kernel,
 * first in, first out. If each request were served, the queue would grow until callers have left by
 * the time they are read, and all work would be for nobody. A refusal costs a fraction of a request,
 * so that the queue stays shorter than the patience of callers. Programs start only while there is
 * no queue to speak of: one more program slows all others down, and a program that is refused midway
 * has wasted its work.
 */
export const mayAdmitUnderLoad = (arrival: LoadedArrival): boolean => {
  const { waitMilliseconds, patienceMilliseconds, isProgramStart } = arrival;
  if (isProgramStart) return waitMilliseconds <= LONGEST_START_WAIT_MILLISECONDS;
  const longest = Math.min(LONGEST_WAIT_MILLISECONDS, patienceMilliseconds * LONGEST_WAIT_SHARE);
  return waitMilliseconds <= Math.max(LONGEST_START_WAIT_MILLISECONDS, longest);
};

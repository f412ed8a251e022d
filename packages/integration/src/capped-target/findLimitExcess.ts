import type { Arrival, LimitHistory } from '@limpetnotch/stand-ins';

const MILLISECONDS_PER_SECOND = 1_000;
/** The platform's window, factor, allowance and delays for requests above a limit. */
const WINDOW_MILLISECONDS = 4_000;
const ALLOWED_FACTOR = 1.5;
const ALLOWED_REQUESTS = 5;
const STABLE_WINDOW_MILLISECONDS = 3_000;
const TOLD_MILLISECONDS = 500;

/** A span in which a target got more requests than allowed. */
export interface LimitExcess {
  /** End of the span. */
  readonly at: number;
  readonly requests: number;
  readonly allowed: number;
}

/** Highest value that a target named within a span; undefined if it named none all the while. */
const findHighestLimit = (
  { values }: LimitHistory,
  from: number,
  to: number,
): number | undefined => {
  const named = values.filter(({ namedAt }, index) => {
    const endedAt = values[index + 1]?.namedAt ?? Infinity;
    return namedAt <= to && endedAt >= from;
  });
  const limits = named.map(({ requestsPerSecond }) => requestsPerSecond ?? Infinity);
  return limits.length === 0 ? undefined : Math.max(...limits);
};

/**
 * Returns the span with the most requests above the limits that a target named; undefined if there
 * is none. A lower value binds one stable window after it was first named.
 */
export const findLimitExcess = (
  history: LimitHistory,
  isCounted: (arrival: Arrival) => boolean = () => true,
): LimitExcess | undefined => {
  const firstNamedAt = history.values.find(
    ({ requestsPerSecond }) => requestsPerSecond !== undefined,
  )?.namedAt;
  if (firstNamedAt === undefined) return undefined;
  const counted = history.arrivals.filter(
    (arrival) => arrival.at >= firstNamedAt + TOLD_MILLISECONDS && isCounted(arrival),
  );
  const excesses = counted.flatMap(({ at }) => {
    if (at < firstNamedAt + STABLE_WINDOW_MILLISECONDS) return [];
    const from = Math.max(firstNamedAt, at - WINDOW_MILLISECONDS - STABLE_WINDOW_MILLISECONDS);
    const limit = findHighestLimit(history, from, at) ?? Infinity;
    const seconds = WINDOW_MILLISECONDS / MILLISECONDS_PER_SECOND;
    const allowed = ALLOWED_FACTOR * limit * seconds + ALLOWED_REQUESTS;
    const requests = counted.filter(
      (other) => other.at > at - WINDOW_MILLISECONDS && other.at <= at,
    ).length;
    return requests > allowed ? [{ at, requests, allowed }] : [];
  });
  return excesses.sort(
    (one, other) => other.requests - other.allowed - (one.requests - one.allowed),
  )[0];
};

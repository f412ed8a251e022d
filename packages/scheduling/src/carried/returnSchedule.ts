const MILLISECONDS_PER_SECOND = 1_000;

/** Shorter delays bring a refused request back before anything has changed. */
const SHORTEST_DELAY_MILLISECONDS = 100;

/** Share of the longest delay over which requests that find no place are spread. */
const SPREAD_SHARE = 0.5;

/** What is known when a request is refused. */
export interface ReturnSituation {
  readonly nowMilliseconds: number;
  /** Requests per second that can be served. */
  readonly requestsPerSecond: number;
  readonly waitingRequests: number;
  /** The longest delay that still leaves the caller time for the request. */
  readonly longestMilliseconds: number;
}

/**
 * Chooses when refused callers return. Those refused in a burst would return in one, so each gets
 * the next free place at the rate that can be served.
 */
export class ReturnSchedule {
  readonly #random: () => number;

  #lastReturnAtMilliseconds = -Infinity;

  constructor(random: () => number = Math.random) {
    this.#random = random;
  }

  /** Returns the delay after which a refused request should be sent again, in milliseconds. */
  next(situation: ReturnSituation): number {
    const { nowMilliseconds, requestsPerSecond, waitingRequests } = situation;
    const longest = Math.max(SHORTEST_DELAY_MILLISECONDS, situation.longestMilliseconds);
    if (requestsPerSecond <= 0) return this.#spread(longest);
    const interval = MILLISECONDS_PER_SECOND / requestsPerSecond;
    const returnAt = Math.max(
      nowMilliseconds + Math.max(SHORTEST_DELAY_MILLISECONDS, waitingRequests * interval),
      this.#lastReturnAtMilliseconds + interval,
    );
    if (returnAt - nowMilliseconds > longest) return this.#spread(longest);
    this.#lastReturnAtMilliseconds = returnAt;
    return returnAt - nowMilliseconds;
  }

  #spread(longest: number): number {
    return longest * (1 - SPREAD_SHARE * this.#random());
  }
}

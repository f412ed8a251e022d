/** A request that waits because all targets of its service are at their limits. */
export interface LimitedRequest {
  /** Whether its program has already been served, so that refusing it wastes that work. */
  readonly isUnderWay: boolean;
  /** Rank of the organisation or the route; 0 is the highest. */
  readonly priority: number;
  /** When its program should finish, in milliseconds; Infinity if it has no objective. */
  readonly finishAtMilliseconds: number;
  /** When the wait stops being worthwhile, in milliseconds. */
  readonly waitUntilMilliseconds: number;
  readonly arrivedAtMilliseconds: number;
  /** Requests of the organisation that were served recently. */
  readonly organisationShare: number;
}

/** Throughput that waiting requests can expect. */
export interface LimitedThroughput {
  readonly nowMilliseconds: number;
  readonly requestsPerSecond: number;
  /** Time until the first of them can be sent, in milliseconds. */
  readonly firstMilliseconds: number;
}

const MILLISECONDS_PER_SECOND = 1_000;

type Comparison = (one: LimitedRequest, other: LimitedRequest) => number;

const isLate = ({ finishAtMilliseconds, arrivedAtMilliseconds }: LimitedRequest): boolean =>
  finishAtMilliseconds <= arrivedAtMilliseconds;

/** Requests of programs under way: those that can still finish in time, nearest their end first. */
const UNDER_WAY_ORDER: readonly Comparison[] = [
  (one, other) => Number(isLate(one)) - Number(isLate(other)),
  (one, other) => one.priority - other.priority,
  (one, other) => one.finishAtMilliseconds - other.finishAtMilliseconds,
];

/** Requests that start programs, or belong to none: organisations take turns. */
const START_ORDER: readonly Comparison[] = [
  (one, other) => one.priority - other.priority,
  (one, other) => one.organisationShare - other.organisationShare,
  (one, other) => one.arrivedAtMilliseconds - other.arrivedAtMilliseconds,
];

const isBefore = (one: LimitedRequest, other: LimitedRequest): boolean => {
  if (one.isUnderWay !== other.isUnderWay) return one.isUnderWay;
  const order = one.isUnderWay ? UNDER_WAY_ORDER : START_ORDER;
  // Requests without objectives have infinite times, whose difference is no number.
  const difference = order
    .map((compare) => compare(one, other))
    .find((result) => result !== 0 && !Number.isNaN(result));
  return (difference ?? 0) < 0;
};

/**
 * Requests that wait for targets whose limits together are below the demand. A request is accepted
 * only if it is expected to be sent before its wait stops being worthwhile; when a more important
 * one is accepted, those behind it that can no longer be sent in time are refused immediately.
 */
export class LimitedQueue<Request extends LimitedRequest> {
  #requests: readonly Request[] = [];

  get size(): number {
    return this.#requests.length;
  }

  /** Adds a request; returns those to refuse now, possibly including the new one. */
  add(request: Request, throughput: LimitedThroughput): readonly Request[] {
    const index = this.#requests.findIndex((other) => isBefore(request, other));
    const position = index === -1 ? this.#requests.length : index;
    this.#requests = [
      ...this.#requests.slice(0, position),
      request,
      ...this.#requests.slice(position),
    ];
    return this.refuseBeyondDeadline(throughput);
  }

  /** Removes the requests that can't be sent in time, and returns them. */
  refuseBeyondDeadline(throughput: LimitedThroughput): readonly Request[] {
    const kept: Request[] = [];
    const refused: Request[] = [];
    this.#requests.forEach((request) => {
      const sentAt = LimitedQueue.#expectSending(kept.length, throughput);
      (sentAt <= request.waitUntilMilliseconds ? kept : refused).push(request);
    });
    this.#requests = kept;
    return refused;
  }

  /** Removes and returns the first request. */
  takeFirst(): Request | undefined {
    const [first, ...rest] = this.#requests;
    this.#requests = rest;
    return first;
  }

  /** Removes a request that no longer waits. */
  remove(request: Request): void {
    this.#requests = this.#requests.filter((other) => other !== request);
  }

  static #expectSending(
    position: number,
    { nowMilliseconds, requestsPerSecond, firstMilliseconds }: LimitedThroughput,
  ): number {
    const others = position === 0 ? 0 : (position * MILLISECONDS_PER_SECOND) / requestsPerSecond;
    return nowMilliseconds + firstMilliseconds + others;
  }
}

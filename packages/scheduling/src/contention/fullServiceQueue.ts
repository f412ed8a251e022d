import type { LimitedRequest, LimitedThroughput } from '../carried/limitedQueue';
import { LimitedQueue } from '../carried/limitedQueue';
import { ReturnSchedule } from '../carried/returnSchedule';

/** A request that all targets of its service refused because they are full. */
export interface RefusedRequest extends LimitedRequest {
  /** Memory that the request holds while it waits. */
  readonly bytes: number;
}

/** Bounds of the memory that waiting requests hold. */
export interface WaitBounds {
  readonly requests: number;
  readonly bytes: number;
}

/** Time over which the rate of ended requests is measured. */
const MEASURED_MILLISECONDS = 2_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Without a measured rate, a full target is assumed to free a slot within this time. */
const ASSUMED_SLOT_MILLISECONDS = 250;

/** The first request is tried after this time at the latest, as other instances free slots too. */
const FIRST_TRY_MILLISECONDS = 100;

/**
 * Requests that wait because all targets of one service are full. Only requests of programs under way
 * wait: refusing one wastes what its program was served, while a program that has not begun loses
 * nothing. They wait as long as they can expect a slot in time, and within bounds of memory.
 */
export class FullServiceQueue<Request extends RefusedRequest> {
  readonly #queue = new LimitedQueue<Request>();

  readonly #returns: ReturnSchedule;

  readonly #bounds: WaitBounds;

  #bytes = 0;

  #endedAt: readonly number[] = [];

  constructor(bounds: WaitBounds, random: () => number = Math.random) {
    this.#bounds = bounds;
    this.#returns = new ReturnSchedule(random);
  }

  /** Number of waiting requests. */
  get size(): number {
    return this.#queue.size;
  }

  /** Records that a request at the service ended, which freed a slot. */
  recordEnd(): void {
    const now = performance.now();
    this.#endedAt = [...this.#endedAt.filter((at) => at > now - MEASURED_MILLISECONDS), now];
  }

  /**
   * Adds a request; returns those to refuse now, possibly including the new one. A request that does
   * not fit into the bounds is refused itself, so that waiting ones keep what they waited for.
   */
  add(request: Request): readonly Request[] {
    const fits =
      this.size < this.#bounds.requests && this.#bytes + request.bytes <= this.#bounds.bytes;
    if (!request.isUnderWay || !fits) return [request];
    this.#bytes += request.bytes;
    return this.#released(this.#queue.add(request, this.#throughput));
  }

  /** Removes and returns the requests that can no longer expect a slot in time. */
  removeLate(): readonly Request[] {
    return this.#released(this.#queue.refuseBeyondDeadline(this.#throughput));
  }

  /** Removes and returns the request that should be tried next. */
  takeFirst(): Request | undefined {
    const first = this.#queue.takeFirst();
    if (first) this.#released([first]);
    return first;
  }

  /** Removes a request that no longer waits; does nothing if it has left the queue. */
  remove(request: Request): void {
    const sizeBefore = this.size;
    this.#queue.remove(request);
    if (this.size < sizeBefore) this.#released([request]);
  }

  /** Returns when a refused request should return, in milliseconds. */
  computeReturn(longestMilliseconds: number): number {
    const { nowMilliseconds, requestsPerSecond } = this.#throughput;
    return this.#returns.next({
      nowMilliseconds,
      requestsPerSecond,
      waitingRequests: this.size,
      longestMilliseconds,
    });
  }

  get #throughput(): LimitedThroughput {
    const now = performance.now();
    const ended = this.#endedAt.filter((at) => at > now - MEASURED_MILLISECONDS).length;
    const requestsPerSecond = Math.max(
      MILLISECONDS_PER_SECOND / ASSUMED_SLOT_MILLISECONDS,
      (ended * MILLISECONDS_PER_SECOND) / MEASURED_MILLISECONDS,
    );
    return {
      nowMilliseconds: now,
      requestsPerSecond,
      firstMilliseconds: Math.min(
        FIRST_TRY_MILLISECONDS,
        MILLISECONDS_PER_SECOND / requestsPerSecond,
      ),
    };
  }

  #released(requests: readonly Request[]): readonly Request[] {
    requests.forEach(({ bytes }) => {
      this.#bytes -= bytes;
    });
    return requests;
  }
}

/** A request that reached a target, whether it ran or was declined. */
export interface Arrival {
  readonly at: number;
  readonly requestId: string;
}

/** A value that a target named, from the first response that did so. */
export interface NamedValue {
  readonly namedAt: number;
  /** Undefined once the target has no limit. */
  readonly requestsPerSecond: number | undefined;
}

/** Limits that one incarnation of a target named, and the requests that arrived meanwhile. */
export class LimitHistory {
  readonly arrivals: Arrival[] = [];

  readonly values: NamedValue[] = [];

  #requestsPerSecond: number | undefined;

  /** Sets the limit that the next responses name; undefined ends it. */
  set(requestsPerSecond: number | undefined): void {
    this.#requestsPerSecond = requestsPerSecond;
  }

  /** Returns the value for a response, and records when it is first sent. */
  name(): number | undefined {
    const requestsPerSecond = this.#requestsPerSecond;
    if (this.values.at(-1)?.requestsPerSecond !== requestsPerSecond) {
      this.values.push({ namedAt: performance.now(), requestsPerSecond });
    }
    return requestsPerSecond;
  }

  recordArrival(requestId: string): void {
    this.arrivals.push({ at: performance.now(), requestId });
  }
}

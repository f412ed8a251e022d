const MAXIMUM_SAMPLES = 16;
const MINIMUM_RETRY_MILLISECONDS = 1_000;
const MAXIMUM_RETRY_MILLISECONDS = 60_000;

/** Rate at which calls leave each organisation's queue, measured while it is not empty. */
export class DrainRate {
  /** Recent departure times by organisation, after the first arrival; absent for empty queues. */
  readonly #departures = new Map<string, number[]>();

  /** Records that a call entered the organisation's queue. */
  recordArrival(organisation: string): void {
    if (this.#departures.has(organisation)) return;
    this.#departures.set(organisation, [performance.now()]);
  }

  /** Records that a call left the organisation's queue. */
  recordDeparture(organisation: string): void {
    const times = this.#departures.get(organisation);
    if (!times) return;
    times.push(performance.now());
    if (times.length > MAXIMUM_SAMPLES) times.shift();
  }

  /** Records that the organisation's queue is empty. */
  recordEmpty(organisation: string): void {
    this.#departures.delete(organisation);
  }

  /** Returns the expected time for a number of calls to leave, or `undefined` if unknown. */
  expectedMilliseconds(organisation: string, calls: number): number | undefined {
    const times = this.#departures.get(organisation) ?? [];
    const [first] = times;
    if (first === undefined || times.length < 2) return undefined;
    return (calls * (performance.now() - first)) / (times.length - 1);
  }

  /** Returns the bounded delay after which the caller should retry a refused call. */
  retryAfterMilliseconds(organisation: string, calls: number): number {
    const expected = this.expectedMilliseconds(organisation, calls) ?? MINIMUM_RETRY_MILLISECONDS;
    const bounded = Math.max(MINIMUM_RETRY_MILLISECONDS, expected);
    return Math.ceil(Math.min(MAXIMUM_RETRY_MILLISECONDS, bounded));
  }
}

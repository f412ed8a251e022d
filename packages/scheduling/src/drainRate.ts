const SAMPLES = 16;
const MINIMUM_RETRY_MILLISECONDS = 1_000;
const MAXIMUM_RETRY_MILLISECONDS = 60_000;

/** Rate at which each organisation's calls leave its queue, over the time that it was not empty. */
export class DrainRate {
  /** Latest departures by organisation, the start of the queue first; absent for empty queues. */
  readonly #departures = new Map<string, number[]>();

  /** Notes that a call entered the organisation's queue. */
  recordEntry(organisation: string): void {
    if (this.#departures.has(organisation)) return;
    this.#departures.set(organisation, [performance.now()]);
  }

  /** Notes that a call of the organisation was granted a target. */
  recordGrant(organisation: string): void {
    const times = this.#departures.get(organisation);
    if (!times) return;
    times.push(performance.now());
    if (times.length > SAMPLES) times.shift();
  }

  /** Notes that the organisation's queue is empty. */
  recordEmpty(organisation: string): void {
    this.#departures.delete(organisation);
  }

  /** Returns the time in which so many calls are expected to leave, or `undefined` if unknown. */
  expectedMilliseconds(organisation: string, calls: number): number | undefined {
    const times = this.#departures.get(organisation) ?? [];
    const [first] = times;
    if (first === undefined || times.length < 2) return undefined;
    return (calls * (performance.now() - first)) / (times.length - 1);
  }

  /** Returns the time after which a refused call should come again, within sensible bounds. */
  retryAfterMilliseconds(organisation: string, calls: number): number {
    const expected = this.expectedMilliseconds(organisation, calls) ?? MINIMUM_RETRY_MILLISECONDS;
    const bounded = Math.max(MINIMUM_RETRY_MILLISECONDS, expected);
    return Math.ceil(Math.min(MAXIMUM_RETRY_MILLISECONDS, bounded));
  }
}

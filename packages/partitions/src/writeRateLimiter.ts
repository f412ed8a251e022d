import { delay } from '@limpetnotch/supervision';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Limits the rate of the store writes of one instance to its share of the fleet's rate, by the
 * generic cell rate algorithm. The burst lets an idle instance write at once.
 */
export class WriteRateLimiter {
  /** Returns the share of this instance, in writes per second. */
  readonly #getWritesPerSecond: () => number;

  readonly #burstMilliseconds: number;

  #theoreticalArrival = 0;

  constructor(getWritesPerSecond: () => number, burstMilliseconds: number) {
    this.#getWritesPerSecond = getWritesPerSecond;
    this.#burstMilliseconds = burstMilliseconds;
  }

  /** Resolves when one more write is allowed, in the order of the calls. */
  async acquire(signal: AbortSignal): Promise<void> {
    const now = performance.now();
    const interval = MILLISECONDS_PER_SECOND / this.#getWritesPerSecond();
    const arrival = Math.max(this.#theoreticalArrival, now);
    this.#theoreticalArrival = arrival + interval;
    const wait = arrival - this.#burstMilliseconds - now;
    if (wait > 0) await delay(wait, signal);
  }
}

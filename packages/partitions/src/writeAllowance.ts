import { delay } from '@limpetnotch/supervision';

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Paces the store writes of one instance by the generic cell rate algorithm: a share of the
 * fleet's allowance, with a burst so that an idle instance writes at once.
 */
export class WriteAllowance {
  /** Returns the writes a second of this instance. */
  readonly #share: () => number;

  readonly #burstMilliseconds: number;

  #theoreticalArrival = 0;

  constructor(share: () => number, burstMilliseconds: number) {
    this.#share = share;
    this.#burstMilliseconds = burstMilliseconds;
  }

  /** Resolves when one more write may be made, in the order of the calls. */
  async take(signal: AbortSignal): Promise<void> {
    const now = performance.now();
    const interval = MILLISECONDS_PER_SECOND / this.#share();
    const arrival = Math.max(this.#theoreticalArrival, now);
    this.#theoreticalArrival = arrival + interval;
    const wait = arrival - this.#burstMilliseconds - now;
    if (wait > 0) await delay(wait, signal);
  }
}

const TIME_CONSTANT_MILLISECONDS = 500;
const SUSTAINED_MILLISECONDS = 250;
const LONGEST_GAP_MILLISECONDS = 100;

/** Exponentially weighted arrival rate. A burst alone does not predict further arrivals. */
export class ArrivalEstimate {
  #weight = 0;

  #updatedMilliseconds = performance.now();

  #sinceMilliseconds = performance.now();

  /** Counts one arrival at the current time. */
  add(): void {
    const now = performance.now();
    if (now - this.#updatedMilliseconds > LONGEST_GAP_MILLISECONDS) this.#sinceMilliseconds = now;
    this.#weight = this.#decayedWeight(now) + 1;
    this.#updatedMilliseconds = now;
  }

  /**
   * Returns the number of arrivals expected within the given time; 0 until arrivals have been
   * sustained for `SUSTAINED_MILLISECONDS`.
   */
  estimate(milliseconds: number): number {
    const now = performance.now();
    if (now - this.#sinceMilliseconds < SUSTAINED_MILLISECONDS) return 0;
    return (this.#decayedWeight(now) * milliseconds) / TIME_CONSTANT_MILLISECONDS;
  }

  #decayedWeight(now: number): number {
    return this.#weight * Math.exp((this.#updatedMilliseconds - now) / TIME_CONSTANT_MILLISECONDS);
  }
}

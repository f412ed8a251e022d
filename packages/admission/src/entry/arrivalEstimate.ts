const MEMORY_MILLISECONDS = 500;
const SUSTAINED_MILLISECONDS = 250;
const LONGEST_GAP_MILLISECONDS = 100;

/** Exponentially weighted rate of arrivals; a burst alone tells nothing of what follows. */
export class ArrivalEstimate {
  #weight = 0;

  #updatedMilliseconds = performance.now();

  #sinceMilliseconds = performance.now();

  /** Counts one arrival now. */
  add(): void {
    const now = performance.now();
    if (now - this.#updatedMilliseconds > LONGEST_GAP_MILLISECONDS) this.#sinceMilliseconds = now;
    this.#weight = this.#weightAt(now) + 1;
    this.#updatedMilliseconds = now;
  }

  /** Arrivals expected within the next milliseconds; 0 until they were sustained for a while. */
  expected(milliseconds: number): number {
    const now = performance.now();
    if (now - this.#sinceMilliseconds < SUSTAINED_MILLISECONDS) return 0;
    return (this.#weightAt(now) * milliseconds) / MEMORY_MILLISECONDS;
  }

  #weightAt(now: number): number {
    return this.#weight * Math.exp((this.#updatedMilliseconds - now) / MEMORY_MILLISECONDS);
  }
}

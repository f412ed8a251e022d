/** Limits the rate of calls in fixed windows of one second. */
export class CallRateLimiter {
  #windowStart = 0;

  #calls = 0;

  /** Counts a call; returns whether it is within the limit. `null` means no limit. */
  tryAcquire(callsPerSecond: number | null): boolean {
    const window = Math.floor(Date.now() / 1_000);
    if (window !== this.#windowStart) {
      this.#windowStart = window;
      this.#calls = 0;
    }
    this.#calls += 1;
    return callsPerSecond === null || this.#calls <= callsPerSecond;
  }
}

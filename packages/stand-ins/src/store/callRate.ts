/** Counts calls and turns away those above a rate, over a window of one second. */
export class CallRate {
  #windowStart = 0;

  #calls = 0;

  /** Takes one call; returns whether it is within the rate, `null` being no limit. */
  take(callsPerSecond: number | null): boolean {
    const window = Math.floor(Date.now() / 1_000);
    if (window !== this.#windowStart) {
      this.#windowStart = window;
      this.#calls = 0;
    }
    this.#calls += 1;
    return callsPerSecond === null || this.#calls <= callsPerSecond;
  }
}

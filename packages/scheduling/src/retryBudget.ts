/** Retry budget of a route: each first attempt earns a fraction of a retry, up to the burst. */
export class RetryBudget {
  readonly #ratio: number;

  readonly #burst: number;

  #tokens: number;

  constructor(ratio: number, burst: number) {
    this.#ratio = ratio;
    this.#burst = burst;
    this.#tokens = burst;
  }

  /** Credits the fraction that one first attempt earns. */
  earn(): void {
    this.#tokens = Math.min(Math.max(this.#burst, 1), this.#tokens + this.#ratio);
  }

  /** Consumes one retry; returns whether the budget allowed it. */
  tryConsume(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

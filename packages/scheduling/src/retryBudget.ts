/** Budget of a route's retries: each first attempt earns a share of a retry, up to the burst. */
export class RetryBudget {
  readonly #ratio: number;

  readonly #burst: number;

  #tokens: number;

  constructor(ratio: number, burst: number) {
    this.#ratio = ratio;
    this.#burst = burst;
    this.#tokens = burst;
  }

  /** Earns the share of one first attempt. */
  earn(): void {
    this.#tokens = Math.min(Math.max(this.#burst, 1), this.#tokens + this.#ratio);
  }

  /** Takes one retry; returns whether the budget had one. */
  take(): boolean {
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

/** Sum of amounts, of which older ones count less; it decays only when an amount is added. */
export class RecentRate {
  readonly #averageMilliseconds: number;

  #sum = 0;

  #addedAtMilliseconds = performance.now();

  constructor(averageMilliseconds: number) {
    this.#averageMilliseconds = averageMilliseconds;
  }

  get sum(): number {
    return this.#sum;
  }

  add(amount: number): void {
    const now = performance.now();
    const age = now - this.#addedAtMilliseconds;
    this.#addedAtMilliseconds = now;
    this.#sum = this.#sum * Math.exp(-age / this.#averageMilliseconds) + amount;
  }
}

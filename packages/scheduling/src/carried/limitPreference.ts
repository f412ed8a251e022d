/** Costs with which a new one is compared. */
const COMPARED_COSTS = 64;

/** Factor by which more requests prefer a limit than it can take, so that no token is left over. */
const OVERSUBSCRIPTION = 1.2;

/**
 * Chooses which requests use the tokens of limits while other targets have room as well. A limit
 * counts requests whatever they cost, so the most expensive ones relieve the other targets most.
 */
export class LimitPreference {
  readonly #random: () => number;

  #costs: readonly number[] = [];

  constructor(random: () => number = Math.random) {
    this.#random = random;
  }

  /**
   * Records the cost of a request at a target without a limit, and returns whether it should use a
   * token instead. The share is that of all requests which the limits can take.
   */
  prefersLimit(cost: number, limitShare: number): boolean {
    const cheaper = this.#costs.filter((other) => other < cost).length;
    const equal = this.#costs.filter((other) => other === cost).length;
    // Requests of equal cost share the tokens at random.
    const rank = (cheaper + this.#random() * (equal + 1)) / (this.#costs.length + 1);
    this.#costs = [...this.#costs.slice(1 - COMPARED_COSTS), cost];
    return rank >= 1 - Math.min(1, limitShare * OVERSUBSCRIPTION);
  }
}

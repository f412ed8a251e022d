const MAXIMUM_REPORTERS = 512;

/** Service of one organisation, summed over the instances that report it. */
export class ServiceTotals {
  #seen: Map<string, number> | undefined;

  #total = 0;

  /** Adds an instance's report; returns what others reported since its last one. */
  report(instance: string, tokens: number): number {
    if (!this.#seen && tokens === 0) return 0;
    this.#seen ??= new Map();
    const remote = this.#total - (this.#seen.get(instance) ?? 0);
    this.#total += tokens;
    this.#seen.delete(instance);
    this.#seen.set(instance, this.#total);
    ServiceTotals.#bound(this.#seen);
    return remote;
  }

  static #bound(seen: Map<string, number>): void {
    const [oldest] = seen.keys();
    if (seen.size > MAXIMUM_REPORTERS && oldest !== undefined) seen.delete(oldest);
  }
}

const MAXIMUM_REPORTERS = 512;

/** Service of one organisation, summed over the reporting instances. */
export class ServiceTotals {
  #totalsAtLastReport: Map<string, number> | undefined;

  #total = 0;

  /** Adds an instance's report; returns the tokens that others reported since its last one. */
  report(instance: string, tokens: number): number {
    if (!this.#totalsAtLastReport && tokens === 0) return 0;
    this.#totalsAtLastReport ??= new Map();
    const remote = this.#total - (this.#totalsAtLastReport.get(instance) ?? 0);
    this.#total += tokens;
    this.#totalsAtLastReport.delete(instance);
    this.#totalsAtLastReport.set(instance, this.#total);
    ServiceTotals.#evictOldest(this.#totalsAtLastReport);
    return remote;
  }

  static #evictOldest(reporters: Map<string, number>): void {
    const [oldest] = reporters.keys();
    if (reporters.size > MAXIMUM_REPORTERS && oldest !== undefined) reporters.delete(oldest);
  }
}

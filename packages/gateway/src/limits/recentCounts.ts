interface RecentCount {
  readonly count: number;
  readonly atMilliseconds: number;
}

/** Counts by key that halve with time. */
export class RecentCounts {
  readonly #halfLifeMilliseconds: number;

  readonly #counts = new Map<string, RecentCount>();

  constructor(halfLifeMilliseconds: number) {
    this.#halfLifeMilliseconds = halfLifeMilliseconds;
  }

  get(key: string): number {
    const recorded = this.#counts.get(key);
    if (!recorded) return 0;
    const age = performance.now() - recorded.atMilliseconds;
    return recorded.count * 0.5 ** (age / this.#halfLifeMilliseconds);
  }

  add(key: string): void {
    this.#counts.set(key, { count: this.get(key) + 1, atMilliseconds: performance.now() });
  }
}

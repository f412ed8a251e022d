/** Recently added keys; beyond a maximum the least recently added ones are evicted. */
export class RecentKeys {
  readonly #maximum: number;

  readonly #keys = new Set<string>();

  constructor(maximum: number) {
    this.#maximum = maximum;
  }

  has(key: string): boolean {
    return this.#keys.has(key);
  }

  add(key: string): void {
    this.#keys.delete(key);
    this.#keys.add(key);
    if (this.#keys.size <= this.#maximum) return;
    const [oldest] = this.#keys;
    if (oldest !== undefined) this.#keys.delete(oldest);
  }
}

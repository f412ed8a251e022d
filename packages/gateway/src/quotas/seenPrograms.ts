/** Programs remembered; twice those under way on an instance at the size designed for. */
const MAXIMUM_PROGRAMS = 20_000;

/** Programs of which this instance has seen a request, the longest unseen forgotten first. */
export class SeenPrograms {
  readonly #keys = new Set<string>();

  /** Whether an admitted request of a program was noted. */
  has(key: string): boolean {
    return this.#keys.has(key);
  }

  /** Notes an admitted request of a program. */
  note(key: string): void {
    this.#keys.delete(key);
    this.#keys.add(key);
    if (this.#keys.size <= MAXIMUM_PROGRAMS) return;
    const [oldest] = this.#keys;
    if (oldest !== undefined) this.#keys.delete(oldest);
  }
}

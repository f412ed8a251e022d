/**
 * Service attained by each root program, including its sub-agents. It is kept while a program
 * pauses for a tool. At the limit, the program that was served least recently is evicted and counts
 * as new when it makes another call.
 */
export class AttainedService {
  /** Attained tokens by program, least recently served first. */
  readonly #tokens = new Map<string, number>();

  readonly #maximumPrograms: number;

  constructor(maximumPrograms: number) {
    this.#maximumPrograms = maximumPrograms;
  }

  get size(): number {
    return this.#tokens.size;
  }

  /** Adds service; a negative amount corrects an estimate. */
  charge(organisation: string, rootProgram: string, tokens: number): void {
    const key = AttainedService.#key(organisation, rootProgram);
    const attained = Math.max(0, (this.#tokens.get(key) ?? 0) + tokens);
    this.#tokens.delete(key);
    this.#tokens.set(key, attained);
    this.#evictOldest();
  }

  /** Returns the tokens that a program attained, or 0 if it is not tracked. */
  attained(organisation: string, rootProgram: string): number {
    return this.#tokens.get(AttainedService.#key(organisation, rootProgram)) ?? 0;
  }

  /** Removes a program that ended. */
  remove(organisation: string, rootProgram: string): void {
    this.#tokens.delete(AttainedService.#key(organisation, rootProgram));
  }

  #evictOldest(): void {
    if (this.#tokens.size <= this.#maximumPrograms) return;
    const [oldest] = this.#tokens.keys();
    if (oldest !== undefined) this.#tokens.delete(oldest);
  }

  static #key(organisation: string, rootProgram: string): string {
    return `${organisation}/${rootProgram}`;
  }
}

/**
 * Service attained by each root program, its sub-agents included. It is kept while a program
 * pauses for a tool; at the limit the program that was served the longest ago is forgotten and
 * counts as new when it comes back.
 */
export class AttainedService {
  /** Attained tokens by program, the longest unserved first. */
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
    this.#forgetOldest();
  }

  /** Returns the tokens that a program attained; 0 for an unknown one. */
  attained(organisation: string, rootProgram: string): number {
    return this.#tokens.get(AttainedService.#key(organisation, rootProgram)) ?? 0;
  }

  /** Forgets a program that ended. */
  forget(organisation: string, rootProgram: string): void {
    this.#tokens.delete(AttainedService.#key(organisation, rootProgram));
  }

  #forgetOldest(): void {
    if (this.#tokens.size <= this.#maximumPrograms) return;
    const [oldest] = this.#tokens.keys();
    if (oldest !== undefined) this.#tokens.delete(oldest);
  }

  static #key(organisation: string, rootProgram: string): string {
    return `${organisation}/${rootProgram}`;
  }
}

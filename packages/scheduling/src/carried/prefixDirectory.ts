/**
 * One part of a prompt, shared with other requests that name the same one. A target can reuse it
 * only together with all parts before it.
 */
export interface PrefixPart {
  readonly id: string;
  readonly tokens: number;
}

/** Parts remembered; twice the lines of turns under way on an instance at the size designed for. */
const MAXIMUM_PARTS = 40_000;

/**
 * Which target has which parts of prompts in memory, as far as this instance sent them there.
 * Targets drop what is least recently used, so the newest note of a part counts.
 */
export class PrefixDirectory {
  /** Tokens by target, by part, in the order of their last use. */
  readonly #parts = new Map<string, Map<string, number>>();

  /** Notes that a target has read a prompt and generated tokens, which extend the last part. */
  note(targetId: string, parts: readonly PrefixPart[], generatedTokens: number): void {
    parts.forEach(({ id, tokens }, index) => {
      const isLast = index === parts.length - 1;
      const holders = this.#parts.get(id) ?? new Map<string, number>();
      holders.set(targetId, tokens + (isLast ? generatedTokens : 0));
      this.#parts.delete(id);
      this.#parts.set(id, holders);
    });
    this.#forgetOldest();
  }

  /** Tokens of a prompt that a target should not need to read again. */
  cachedTokens(targetId: string, parts: readonly PrefixPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      const held = Math.min(tokens, this.#parts.get(id)?.get(targetId) ?? 0);
      cached += held;
      if (held < tokens) return cached;
    }
    return cached;
  }

  #forgetOldest(): void {
    for (const [id] of this.#parts) {
      if (this.#parts.size <= MAXIMUM_PARTS) return;
      this.#parts.delete(id);
    }
  }
}

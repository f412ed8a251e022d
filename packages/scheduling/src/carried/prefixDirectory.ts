/**
 * A part of a prompt, shared by requests that use the same identifier. A target can reuse a cached
 * part only together with all earlier parts.
 */
export interface PrefixPart {
  readonly id: string;
  readonly tokens: number;
}

/** Maximum tracked parts: twice the concurrent turn sequences of an instance at its design size. */
const MAXIMUM_PARTS = 40_000;

/**
 * Tracks the prompt parts that targets probably cache, based on what this instance sent to them.
 * Targets evict the least recently used parts, so the latest record of a part counts.
 */
export class PrefixDirectory {
  /** Tokens by target for each part, least recently used part first. */
  readonly #parts = new Map<string, Map<string, number>>();

  /** Records a prompt that a target processed; generated tokens extend its last part. */
  record(targetId: string, parts: readonly PrefixPart[], generatedTokens: number): void {
    parts.forEach(({ id, tokens }, index) => {
      const isLast = index === parts.length - 1;
      const tokensByTarget = this.#parts.get(id) ?? new Map<string, number>();
      tokensByTarget.set(targetId, tokens + (isLast ? generatedTokens : 0));
      this.#parts.delete(id);
      this.#parts.set(id, tokensByTarget);
    });
    this.#evictOldest();
  }

  /** Returns the prompt tokens that a target probably need not process again. */
  cachedTokens(targetId: string, parts: readonly PrefixPart[]): number {
    let cached = 0;
    for (const { id, tokens } of parts) {
      const cachedPartTokens = Math.min(tokens, this.#parts.get(id)?.get(targetId) ?? 0);
      cached += cachedPartTokens;
      if (cachedPartTokens < tokens) return cached;
    }
    return cached;
  }

  #evictOldest(): void {
    for (const [id] of this.#parts) {
      if (this.#parts.size <= MAXIMUM_PARTS) return;
      this.#parts.delete(id);
    }
  }
}

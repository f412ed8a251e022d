/** Requests under suspicion that this instance has under way, by their targets. */
export class TrialRuns {
  readonly #counts = new Map<string, number>();

  /** Notes the start of one; returns what notes its end. */
  begin(targetId: string): () => void {
    this.#counts.set(targetId, this.at(targetId) + 1);
    return () => {
      const remaining = this.at(targetId) - 1;
      if (remaining > 0) this.#counts.set(targetId, remaining);
      else this.#counts.delete(targetId);
    };
  }

  /** Returns how many are under way at a target. */
  at(targetId: string): number {
    return this.#counts.get(targetId) ?? 0;
  }
}

/** Number of requests under suspicion that this instance has in flight, by target. */
export class TrialRuns {
  readonly #counts = new Map<string, number>();

  /** Records the start of a run; returns a function that records its end. */
  begin(targetId: string): () => void {
    this.#counts.set(targetId, this.countAt(targetId) + 1);
    return () => {
      const remaining = this.countAt(targetId) - 1;
      if (remaining > 0) this.#counts.set(targetId, remaining);
      else this.#counts.delete(targetId);
    };
  }

  /** Returns the number of runs in flight at a target. */
  countAt(targetId: string): number {
    return this.#counts.get(targetId) ?? 0;
  }
}

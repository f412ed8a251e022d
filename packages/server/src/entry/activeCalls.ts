import type { KeyIdentity } from '@limpetnotch/admission';

interface ActiveCall {
  readonly identity: KeyIdentity;
  readonly abort: AbortController;
}

/** Calls in progress at this entry, with the keys that authenticated them. */
export class ActiveCalls {
  readonly #calls = new Set<ActiveCall>();

  readonly #withdrawn = new WeakSet<AbortController>();

  /** Number of calls in progress. */
  get size(): number {
    return this.#calls.size;
  }

  /** Adds a call; the returned function removes it. */
  add(identity: KeyIdentity, abort: AbortController): () => void {
    const call = { identity, abort };
    this.#calls.add(call);
    return () => this.#calls.delete(call);
  }

  /** Aborts the calls whose keys are no longer valid; returns their number. */
  abortWithdrawnKeys(isInForce: (identity: KeyIdentity) => boolean): number {
    const withdrawn = [...this.#calls].filter(({ identity }) => !isInForce(identity));
    withdrawn.forEach(({ abort }) => {
      this.#withdrawn.add(abort);
      abort.abort();
    });
    return withdrawn.length;
  }

  /** Whether a call was aborted because its key was withdrawn. */
  wasKeyWithdrawn(abort: AbortController): boolean {
    return this.#withdrawn.has(abort);
  }
}

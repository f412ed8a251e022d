import type { KeyIdentity } from '@limpetnotch/admission';

interface OpenCall {
  readonly identity: KeyIdentity;
  readonly abort: AbortController;
}

/** Calls under way at this entry, by the key that they came with. */
export class OpenCalls {
  readonly #calls = new Set<OpenCall>();

  readonly #cut = new WeakSet<AbortController>();

  /** Number of calls under way. */
  get size(): number {
    return this.#calls.size;
  }

  /** Adds a call; the returned function removes it. */
  add(identity: KeyIdentity, abort: AbortController): () => void {
    const call = { identity, abort };
    this.#calls.add(call);
    return () => this.#calls.delete(call);
  }

  /** Cuts the calls whose keys are no longer in force; returns how many. */
  cutKeys(isInForce: (identity: KeyIdentity) => boolean): number {
    const cut = [...this.#calls].filter(({ identity }) => !isInForce(identity));
    cut.forEach(({ abort }) => {
      this.#cut.add(abort);
      abort.abort();
    });
    return cut.length;
  }

  /** Whether a call was cut because its key was withdrawn. */
  wasCut(abort: AbortController): boolean {
    return this.#cut.has(abort);
  }
}

import { delay } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';
import type {
  CompareAndSwapOutcome,
  CompareAndSwapRequest,
  KeyValueStore,
  StoreEntry,
} from './keyValueStore';
import type { StoreError } from './storeError';
import type { BackoffBounds } from './util/computeBackoffMilliseconds';
import { computeBackoffMilliseconds } from './util/computeBackoffMilliseconds';

const DEFAULT_BACKOFF: BackoffBounds = { firstMilliseconds: 50, maximumMilliseconds: 2_000 };

/** Definite outcome of a compare-and-swap. */
export type KnownOutcome =
  | Extract<CompareAndSwapOutcome, { readonly kind: 'swapped' }>
  | (Extract<CompareAndSwapOutcome, { readonly kind: 'conflict' }> & {
      /** Whether the write may have taken effect and been overwritten since. */
      readonly mayHaveTakenEffect: boolean;
    });

/** Options of {@link compareAndSwapUntilKnown}. */
export interface UntilKnownOptions {
  readonly store: KeyValueStore;
  readonly request: CompareAndSwapRequest;
  /** Distinguishes this write from other writes, for example by an identifier in the value. */
  readonly isOwnWrite: (entry: StoreEntry) => boolean;
  /** Stops the attempts when aborted; the last error is returned. */
  readonly signal: AbortSignal;
  /** Delay between attempts; from 50 ms up to 2 s by default. */
  readonly backoff?: BackoffBounds;
}

/** The sequence of attempts for one request. */
class CompareAndSwapAttempts {
  readonly #options: UntilKnownOptions;

  /** Whether an earlier attempt may have taken effect. */
  #isUncertain = false;

  constructor(options: UntilKnownOptions) {
    this.#options = options;
  }

  async run(): Promise<Result<KnownOutcome, StoreError>> {
    const { signal, backoff = DEFAULT_BACKOFF } = this.#options;
    for (let attempt = 0; ; attempt += 1) {
      const result = this.#isUncertain ? await this.#readBack() : await this.#swap();
      if (result.isOk() || result.error.kind === 'lease-ended') return result;
      if (signal.aborted) return err(this.#toFinalError(result.error));
      await delay(computeBackoffMilliseconds(attempt, backoff), signal);
    }
  }

  async #swap(): Promise<Result<KnownOutcome, StoreError>> {
    const { store, request } = this.#options;
    const result = await store.compareAndSwap(request);
    if (result.isErr()) {
      this.#isUncertain = this.#isUncertain || result.error.kind === 'unknown-outcome';
      return err(result.error);
    }
    return ok(
      result.value.kind === 'swapped' ? result.value : this.#resolveConflict(result.value.current),
    );
  }

  /**
   * Reads the key, and retries the write if the key is unchanged, since the first write may still
   * be in flight.
   */
  async #readBack(): Promise<Result<KnownOutcome, StoreError>> {
    const { store, request } = this.#options;
    const read = await store.read(request.key);
    if (read.isErr()) return err(read.error);
    const revision = read.value?.revision ?? 0;
    return revision === request.expectedRevision
      ? this.#swap()
      : ok(this.#resolveConflict(read.value));
  }

  #resolveConflict(current: StoreEntry | undefined): KnownOutcome {
    if (this.#isUncertain && current && this.#options.isOwnWrite(current)) {
      return { kind: 'swapped', revision: current.revision };
    }
    return { kind: 'conflict', current, mayHaveTakenEffect: this.#isUncertain };
  }

  #toFinalError(error: StoreError): StoreError {
    if (!this.#isUncertain) return error;
    return { kind: 'unknown-outcome', detail: error.detail };
  }
}

/**
 * Repeats a compare-and-swap until its outcome is known. Errors without effect are retried with a
 * backoff; after an unknown outcome the key is read back.
 */
export const compareAndSwapUntilKnown = (
  options: UntilKnownOptions,
): ResultAsync<KnownOutcome, StoreError> =>
  new ResultAsync(new CompareAndSwapAttempts(options).run());

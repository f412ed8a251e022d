import type { CompareAndSwapOutcome, KeyValueStore, StoreError } from '@limpetnotch/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Chunk } from '../format/chunk';
import type { ChunkIndex } from '../format/chunkIndex';
import { chunkKey, historyKey, ROOT_KEY } from '../format/configurationKeys';
import type { ConfigurationRoot } from '../format/configurationRoot';
import { decodeChunk, decodeIndex, decodeRoot } from '../format/decodeConfiguration';
import type { FormatError } from '../format/formatError';
import type { PublishError } from './publishError';
import { retryStore } from './retryStore';
import type { StoredRoot } from './storedRoot';

const toUnreachableError = (error: StoreError): PublishError => ({
  kind: 'store-unreachable',
  detail: `${error.kind}: ${error.detail}`,
});

const toFormatError = (error: FormatError): PublishError => ({ kind: 'format', error });

/** Reads and writes the stored values of configurations for a publisher, with retries. */
export class ConfigurationStore {
  readonly #store: KeyValueStore;

  constructor(store: KeyValueStore) {
    this.#store = store;
  }

  /** Reads the current root, with the store revision of its key. */
  async readRoot(): Promise<Result<StoredRoot, PublishError>> {
    const read = await retryStore(() => this.#store.read(ROOT_KEY));
    if (read.isErr()) return err(toUnreachableError(read.error));
    const entry = read.value;
    if (!entry) return ok({ root: undefined, value: undefined, storeRevision: 0 });
    return decodeRoot(entry.value)
      .map((root) => ({ root, value: entry.value, storeRevision: entry.revision }))
      .mapErr(toFormatError);
  }

  /** Reads an earlier root; undefined where it is not in the history. */
  async readHistory(
    revision: number,
  ): Promise<Result<ConfigurationRoot | undefined, PublishError>> {
    const read = await retryStore(() => this.#store.read(historyKey(revision)));
    if (read.isErr()) return err(toUnreachableError(read.error));
    if (!read.value) return ok(undefined);
    return decodeRoot(read.value.value).mapErr(toFormatError);
  }

  /** Reads the index of chunks that a root refers to. */
  async readIndex(digest: string): Promise<Result<ChunkIndex, PublishError>> {
    const value = await this.#readValue(digest);
    return value.andThen((text) => decodeIndex(digest, text).mapErr(toFormatError));
  }

  async readChunk(digest: string): Promise<Result<Chunk, PublishError>> {
    const value = await this.#readValue(digest);
    return value.andThen((text) => decodeChunk(digest, text).mapErr(toFormatError));
  }

  /**
   * Writes a value under its digest, even if it is already stored. The write raises the revision of
   * the key, so that a collection of unreferenced values that read an older revision keeps it.
   */
  async writeValue(digest: string, value: string): Promise<Result<void, PublishError>> {
    return this.#put(chunkKey(digest), value);
  }

  /** Writes a root to the history, before it is replaced. */
  async writeHistory(revision: number, value: string): Promise<Result<void, PublishError>> {
    return this.#put(historyKey(revision), value);
  }

  /** Removes an earlier root; a failure is ignored. */
  async removeHistory(revision: number): Promise<void> {
    const entry = await this.#store.read(historyKey(revision));
    if (entry.isOk() && entry.value) {
      await this.#store.remove(entry.value.key, entry.value.revision);
    }
  }

  /** Replaces the root, without retries. */
  swapRoot(
    value: string,
    storeRevision: number,
  ): Promise<Result<CompareAndSwapOutcome, StoreError>> {
    const request = { key: ROOT_KEY, expectedRevision: storeRevision, value };
    return Promise.resolve(this.#store.compareAndSwap(request));
  }

  async #readValue(digest: string): Promise<Result<string, PublishError>> {
    const read = await retryStore(() => this.#store.read(chunkKey(digest)));
    if (read.isErr()) return err(toUnreachableError(read.error));
    if (read.value) return ok(read.value.value);
    return err(toFormatError({ kind: 'missing-value', value: `value ${digest}` }));
  }

  /**
   * Writes a value. A conflict with an existing value is a success, as all writers of a key write
   * equal values.
   */
  async #put(key: string, value: string): Promise<Result<void, PublishError>> {
    const written = await retryStore(() =>
      this.#store
        .read(key)
        .andThen((entry) =>
          this.#store.compareAndSwap({ key, expectedRevision: entry?.revision ?? 0, value }),
        )
        .andThen(ConfigurationStore.#toPutResult),
    );
    return written.mapErr(toUnreachableError);
  }

  static #toPutResult(outcome: CompareAndSwapOutcome): Result<void, StoreError> {
    if (outcome.kind === 'swapped' || outcome.current) return ok(undefined);
    return err({ kind: 'unavailable', detail: 'the key was removed concurrently' });
  }
}

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

const unreachable = (error: StoreError): PublishError => ({
  kind: 'store-unreachable',
  detail: `${error.kind}: ${error.detail}`,
});

const formatError = (error: FormatError): PublishError => ({ kind: 'format', error });

/** Reads and writes the values of configurations for a publisher, with retries. */
export class ConfigurationStore {
  readonly #store: KeyValueStore;

  constructor(store: KeyValueStore) {
    this.#store = store;
  }

  /** Reads the current root. */
  async readRoot(): Promise<Result<StoredRoot, PublishError>> {
    const read = await retryStore(() => this.#store.read(ROOT_KEY));
    if (read.isErr()) return err(unreachable(read.error));
    const entry = read.value;
    if (!entry) return ok({ root: undefined, value: undefined, storeRevision: 0 });
    return decodeRoot(entry.value)
      .map((root) => ({ root, value: entry.value, storeRevision: entry.revision }))
      .mapErr(formatError);
  }

  /** Reads an earlier root; undefined where it is not kept. */
  async readHistory(
    revision: number,
  ): Promise<Result<ConfigurationRoot | undefined, PublishError>> {
    const read = await retryStore(() => this.#store.read(historyKey(revision)));
    if (read.isErr()) return err(unreachable(read.error));
    if (!read.value) return ok(undefined);
    return decodeRoot(read.value.value).mapErr(formatError);
  }

  /** Reads the index of a root's chunks. */
  async readIndex(digest: string): Promise<Result<ChunkIndex, PublishError>> {
    const value = await this.#readValue(digest);
    return value.andThen((text) => decodeIndex(digest, text).mapErr(formatError));
  }

  /** Reads a chunk. */
  async readChunk(digest: string): Promise<Result<Chunk, PublishError>> {
    const value = await this.#readValue(digest);
    return value.andThen((text) => decodeChunk(digest, text).mapErr(formatError));
  }

  /**
   * Writes a value under its digest, also where it stands already: the write raises the revision
   * of the key, so that a collection of unreferenced values that saw the older one leaves it alone.
   */
  async writeValue(digest: string, value: string): Promise<Result<void, PublishError>> {
    return this.#put(chunkKey(digest), value);
  }

  /** Keeps a root that is about to be replaced. */
  async writeHistory(revision: number, value: string): Promise<Result<void, PublishError>> {
    return this.#put(historyKey(revision), value);
  }

  /** Removes an earlier root; a failure is left to the next publish. */
  async removeHistory(revision: number): Promise<void> {
    const entry = await this.#store.read(historyKey(revision));
    if (entry.isOk() && entry.value) {
      await this.#store.remove(entry.value.key, entry.value.revision);
    }
  }

  /** Tries once to replace the root. */
  swapRoot(
    value: string,
    storeRevision: number,
  ): Promise<Result<CompareAndSwapOutcome, StoreError>> {
    const request = { key: ROOT_KEY, expectedRevision: storeRevision, value };
    return Promise.resolve(this.#store.compareAndSwap(request));
  }

  async #readValue(digest: string): Promise<Result<string, PublishError>> {
    const read = await retryStore(() => this.#store.read(chunkKey(digest)));
    if (read.isErr()) return err(unreachable(read.error));
    if (read.value) return ok(read.value.value);
    return err(formatError({ kind: 'missing-value', value: `value ${digest}` }));
  }

  /** Writers of one key write equal values, so a conflict with a standing value is no failure. */
  async #put(key: string, value: string): Promise<Result<void, PublishError>> {
    const written = await retryStore(() =>
      this.#store
        .read(key)
        .andThen((entry) =>
          this.#store.compareAndSwap({ key, expectedRevision: entry?.revision ?? 0, value }),
        )
        .andThen(ConfigurationStore.#standing),
    );
    return written.mapErr(unreachable);
  }

  static #standing(outcome: CompareAndSwapOutcome): Result<void, StoreError> {
    if (outcome.kind === 'swapped' || outcome.current) return ok(undefined);
    return err({ kind: 'unavailable', detail: 'the key was removed in between' });
  }
}

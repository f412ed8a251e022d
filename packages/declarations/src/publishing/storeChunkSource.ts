import type { KeyValueStore } from '@limpetnotch/store';
import type { ResultAsync } from 'neverthrow';
import { chunkKey } from '../format/configurationKeys';
import type { ChunkSource, SourceError } from './chunkSource';

/** Reads values from the key-value store. */
export class StoreChunkSource implements ChunkSource {
  readonly #store: KeyValueStore;

  constructor(store: KeyValueStore) {
    this.#store = store;
  }

  readValue(digest: string): ResultAsync<string | undefined, SourceError> {
    return this.#store
      .read(chunkKey(digest))
      .map((entry) => entry?.value)
      .mapErr(({ kind, detail }) => ({
        kind: 'source-unreachable',
        detail: `store: ${kind}: ${detail}`,
      }));
  }
}

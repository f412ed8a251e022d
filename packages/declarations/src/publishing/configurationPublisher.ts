import { randomUUID } from 'node:crypto';
import type { KeyValueStore } from '@limpetnotch/store';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { checkConfiguration } from '../checking/checkConfiguration';
import type { Configuration } from '../configuration';
import type { ChunkReference } from '../format/chunkIndex';
import type { ConfigurationRoot } from '../format/configurationRoot';
import { encodeConfiguration } from '../format/encodeConfiguration';
import type { EncodedConfiguration } from '../format/encodeConfiguration';
import { FORMAT_VERSION } from '../format/formatVersion';
import { ConfigurationStore } from './configurationStore';
import { createConflictError } from './createConflictError';
import { findRevivedKeys } from './findRevivedKeys';
import { mapInParallel } from './mapInParallel';
import type { PublishError } from './publishError';
import { readConfiguration } from './readConfiguration';
import { restoreContent } from './restoreContent';
import type { StoredRoot } from './storedRoot';
import { swapRoot } from './swapRoot';

const MAXIMUM_KEPT_REVISIONS = 256;

export interface PublishRequest {
  readonly configuration: Configuration;
  /** Revision that the configuration is based on; the current one by default. */
  readonly baseRevision?: number | undefined;
  /** Operator, reported to others on a conflict. */
  readonly author: string;
}

/** Result of a successful publish. */
export interface PublishedRevision {
  readonly revision: number;
  readonly publishId: string;
  /** Number of values written, which the base did not contain. */
  readonly writtenValues: number;
}

interface NewContent {
  readonly configuration: Configuration;
  readonly encoded: EncodedConfiguration;
  readonly author: string;
  readonly rollbackOf?: number | undefined;
}

/**
 * Publishes complete configurations. Writes the values under their digests, then a copy of the
 * current root to the history, then the new root with a single compare-and-swap. The publish id in
 * the root shows whether a write took effect when the response of the store was lost.
 */
export class ConfigurationPublisher {
  readonly #store: ConfigurationStore;

  constructor(store: KeyValueStore) {
    this.#store = new ConfigurationStore(store);
  }

  /** Reads the current root; undefined before the first publish. */
  async readRoot(): Promise<Result<ConfigurationRoot | undefined, PublishError>> {
    return (await this.#store.readRoot()).map(({ root }) => root);
  }

  /** Reads the current configuration; the empty one of revision 0 before the first publish. */
  async read(): Promise<Result<Configuration, PublishError>> {
    const current = await this.#store.readRoot();
    if (current.isErr()) return err(current.error);
    return readConfiguration(this.#store, current.value.root);
  }

  /** Checks a complete configuration and publishes it as the next revision. */
  async publish(request: PublishRequest): Promise<Result<PublishedRevision, PublishError>> {
    return this.#checkAndPublish(request.configuration, request.baseRevision, {
      author: request.author,
    });
  }

  /** Publishes the content of an earlier revision as the next one, but keeps the current keys. */
  async rollback(
    revision: number,
    author: string,
  ): Promise<Result<PublishedRevision, PublishError>> {
    const current = await this.read();
    if (current.isErr()) return err(current.error);
    const earlier = await this.#readRevision(revision, current.value);
    if (earlier.isErr()) return err(earlier.error);
    const restored = restoreContent(earlier.value, current.value);
    return this.#checkAndPublish(restored, current.value.revision, {
      author,
      rollbackOf: revision,
    });
  }

  async #readRevision(
    revision: number,
    current: Configuration,
  ): Promise<Result<Configuration, PublishError>> {
    if (revision === current.revision) return ok(current);
    const kept = await this.#store.readHistory(revision);
    if (kept.isErr()) return err(kept.error);
    if (!kept.value) return err({ kind: 'revision-not-kept', revision });
    return readConfiguration(this.#store, kept.value);
  }

  async #checkAndPublish(
    configuration: Configuration,
    baseRevision: number | undefined,
    origin: Omit<NewContent, 'configuration' | 'encoded'>,
  ): Promise<Result<PublishedRevision, PublishError>> {
    const faults = checkConfiguration(configuration);
    if (faults.length > 0) return err({ kind: 'faults', faults });
    const encoded = encodeConfiguration(configuration);
    if (encoded.isErr()) return err({ kind: 'format', error: encoded.error });
    return this.#publishEncoded({ ...origin, configuration, encoded: encoded.value }, baseRevision);
  }

  async #publishEncoded(
    content: NewContent,
    baseRevision: number | undefined,
  ): Promise<Result<PublishedRevision, PublishError>> {
    const publishId = randomUUID();
    let base = baseRevision;
    for (;;) {
      const current = await this.#store.readRoot();
      if (current.isErr()) return err(current.error);
      const { root, storeRevision } = current.value;
      base ??= root?.revision ?? 0;
      if ((root?.revision ?? 0) !== base) return err(createConflictError(base, root));
      const index = await this.#readChunkReferences(root);
      if (index.isErr()) return err(index.error);
      const revived = await this.#checkWithdrawals(content, index.value);
      if (revived.isErr()) return err(revived.error);
      const written = await this.#writeValues(content.encoded, current.value, index.value);
      if (written.isErr()) return err(written.error);
      const next = ConfigurationPublisher.#createNextRoot(content, publishId, root);
      const swapped = await swapRoot(this.#store, next, storeRevision);
      if (swapped.isErr()) return err(swapped.error);
      if (swapped.value === 'published') {
        await this.#store.removeHistory(next.revision - MAXIMUM_KEPT_REVISIONS);
        return ok({ revision: next.revision, publishId, writtenValues: written.value });
      }
    }
  }

  async #readChunkReferences(
    root: ConfigurationRoot | undefined,
  ): Promise<Result<readonly ChunkReference[], PublishError>> {
    if (!root) return ok([]);
    return (await this.#store.readIndex(root.index)).map(({ chunks }) => chunks);
  }

  /**
   * Rejects reactivated keys; only reads the chunks of keys of the base that the new content lacks.
   */
  async #checkWithdrawals(
    { configuration, encoded }: NewContent,
    base: readonly ChunkReference[],
  ): Promise<Result<void, PublishError>> {
    const changed = base.filter(
      ({ kind, digest }) => kind === 'key' && !encoded.values.has(digest),
    );
    const chunks = await mapInParallel(changed, ({ digest }) => this.#store.readChunk(digest));
    return chunks.andThen((read): Result<void, PublishError> => {
      const objects = read.flatMap((chunk) => chunk.objects);
      const faults = findRevivedKeys(objects, configuration);
      return faults.length === 0 ? ok(undefined) : err({ kind: 'faults', faults });
    });
  }

  /** Writes the values that the base lacks, and the root of the base to the history. */
  async #writeValues(
    encoded: EncodedConfiguration,
    current: StoredRoot,
    base: readonly ChunkReference[],
  ): Promise<Result<number, PublishError>> {
    const present = new Set([current.root?.index, ...base.map(({ digest }) => digest)]);
    const missing = [...encoded.values].filter(([digest]) => !present.has(digest));
    const written = await mapInParallel(missing, ([digest, value]) =>
      this.#store.writeValue(digest, value),
    );
    if (written.isErr()) return err(written.error);
    if (!current.root || current.value === undefined) return ok(missing.length);
    const kept = await this.#store.writeHistory(current.root.revision, current.value);
    return kept.map(() => missing.length);
  }

  static #createNextRoot(
    content: NewContent,
    publishId: string,
    base: ConfigurationRoot | undefined,
  ): ConfigurationRoot {
    return {
      formatVersion: FORMAT_VERSION,
      revision: (base?.revision ?? 0) + 1,
      publishId,
      author: content.author,
      publishedAt: new Date().toISOString(),
      ...(content.rollbackOf === undefined ? {} : { rollbackOf: content.rollbackOf }),
      collections: base?.collections ?? 0,
      index: content.encoded.index,
    };
  }
}

import type { Logger, Metrics } from '@limpetnotch/observability';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { buildConfiguration } from '../buildConfiguration';
import type { Configuration } from '../configuration';
import type { ConfigurationRoot } from '../format/configurationRoot';
import { decodeRoot } from '../format/decodeConfiguration';
import { digestOf } from '../format/digestOf';
import { encodeChunk } from '../format/encodeConfiguration';
import type { ApplyError } from './applyError';
import type { ChunkSource } from './chunkSource';
import { loadRevision } from './loadRevision';
import type { LoadedRevision } from './loadRevision';

/** Hears of each set that is put in force. */
export type ConfigurationListener = (configuration: Configuration, previous: Configuration) => void;

const EMPTY_CONFIGURATION = buildConfiguration(0, []);

/** Holds the set in force; puts whole sets in force, and never one of a lower revision. */
export class RevisionHolder {
  readonly #logger: Logger;

  readonly #metrics: Metrics;

  readonly #listeners = new Set<ConfigurationListener>();

  #loaded: LoadedRevision | undefined;

  constructor(logger: Logger, metrics: Metrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /** Returns the set in force; the empty one of revision 0 before the first. */
  current(): Configuration {
    return this.#loaded?.configuration ?? EMPTY_CONFIGURATION;
  }

  /** Calls a listener after each change; returns a function that ends it. */
  onChange(listener: ConfigurationListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Returns the root value in force, for a peer that asks. */
  rootValue(): string | undefined {
    return this.#loaded && JSON.stringify(this.#loaded.root);
  }

  /**
   * Returns the index or a chunk in force, for a peer that asks. A chunk that another version wrote
   * may encode differently here; it is not given out then.
   */
  value(digest: string): string | undefined {
    if (digest === this.#loaded?.root.index) return this.#loaded.index;
    const chunk = this.#loaded?.chunks.get(digest);
    const value = chunk && encodeChunk(chunk.objects);
    return value !== undefined && digestOf(value) === digest ? value : undefined;
  }

  /** Loads the revision of a root value and puts it in force, if it is later. */
  async apply(
    value: string,
    sources: readonly ChunkSource[],
  ): Promise<Result<'applied' | 'unchanged', ApplyError>> {
    const root = decodeRoot(value);
    if (root.isErr()) return err(root.error);
    const comparison = this.#compare(root.value);
    if (comparison.isErr()) return err(comparison.error);
    if (comparison.value === 'unchanged') return ok('unchanged');
    const loaded = await loadRevision(root.value, sources, this.#loaded);
    if (loaded.isErr()) return err(loaded.error);
    // Another apply may have ended while this one waited for its chunks.
    const still = this.#compare(root.value);
    if (still.isErr()) return err(still.error);
    if (still.value === 'later') this.#putInForce(loaded.value);
    return ok('applied');
  }

  #compare(root: ConfigurationRoot): Result<'later' | 'unchanged', ApplyError> {
    const current = this.#loaded?.root;
    if (!current || root.revision > current.revision) return ok('later');
    if (root.revision < current.revision) {
      return err({ kind: 'lower-revision', offered: root.revision, current: current.revision });
    }
    if (root.publishId === current.publishId && root.index === current.index) {
      return ok('unchanged');
    }
    this.#metrics.increment('configuration.assertion-failures');
    return err({ kind: 'revision-reused', revision: root.revision });
  }

  #putInForce(loaded: LoadedRevision): void {
    const previous = this.current();
    this.#loaded = loaded;
    this.#metrics.increment('configuration.applied');
    this.#metrics.gauge('configuration.revision', loaded.root.revision);
    this.#logger.info('configuration.applied', {
      revision: loaded.root.revision,
      author: loaded.root.author,
    });
    for (const listener of this.#listeners) this.#notify(listener, loaded.configuration, previous);
  }

  /** A listener that fails must not keep the others from a withdrawal. */
  #notify(
    listener: ConfigurationListener,
    configuration: Configuration,
    previous: Configuration,
  ): void {
    try {
      listener(configuration, previous);
    } catch (error) {
      this.#metrics.increment('configuration.listener-failures');
      this.#logger.error('configuration.listener-failed', {
        reason: error instanceof Error ? error.message : String(error),
      });
    }
  }
}

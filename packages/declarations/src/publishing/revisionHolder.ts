import type { Logger, Metrics } from '@limpetnotch/observability';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { buildConfiguration } from '../buildConfiguration';
import type { Configuration } from '../configuration';
import type { ConfigurationRoot } from '../format/configurationRoot';
import { decodeRoot } from '../format/decodeConfiguration';
import { computeDigest } from '../format/computeDigest';
import { encodeChunk } from '../format/encodeConfiguration';
import type { ApplyError } from './applyError';
import type { ChunkSource } from './chunkSource';
import { loadRevision } from './loadRevision';
import type { LoadedRevision } from './loadRevision';

/** Called after a configuration comes into force. */
export type ConfigurationListener = (configuration: Configuration, previous: Configuration) => void;

const EMPTY_CONFIGURATION = buildConfiguration(0, []);

/** Holds the configuration in force; only replaces it as a whole, and never by a lower revision. */
export class RevisionHolder {
  readonly #logger: Logger;

  readonly #metrics: Metrics;

  readonly #listeners = new Set<ConfigurationListener>();

  #loaded: LoadedRevision | undefined;

  constructor(logger: Logger, metrics: Metrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /**
   * Returns the configuration in force; the empty one of revision 0 before the first is applied.
   */
  current(): Configuration {
    return this.#loaded?.configuration ?? EMPTY_CONFIGURATION;
  }

  /** Registers a listener for changes; returns a function that removes it. */
  onChange(listener: ConfigurationListener): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Returns the root value in force, to serve it to peers. */
  rootValue(): string | undefined {
    return this.#loaded && JSON.stringify(this.#loaded.root);
  }

  /**
   * Returns the index or a chunk in force by digest, to serve it to peers; undefined for a chunk
   * whose encoding here differs, as it was written by another version of the software.
   */
  findValue(digest: string): string | undefined {
    if (digest === this.#loaded?.root.index) return this.#loaded.index;
    const chunk = this.#loaded?.chunks.get(digest);
    const value = chunk && encodeChunk(chunk.objects);
    return value !== undefined && computeDigest(value) === digest ? value : undefined;
  }

  /**
   * Loads the revision of a root value and puts it in force if it is later than the current one.
   */
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
    // A concurrent call may have completed while the chunks were being read.
    const comparisonAfterLoad = this.#compare(root.value);
    if (comparisonAfterLoad.isErr()) return err(comparisonAfterLoad.error);
    if (comparisonAfterLoad.value === 'later') this.#activate(loaded.value);
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

  #activate(loaded: LoadedRevision): void {
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

  /**
   * Calls a listener; its failure must not prevent others from seeing, for example, a key's
   * withdrawal.
   */
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

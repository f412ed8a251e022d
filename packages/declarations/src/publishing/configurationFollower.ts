import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, WatchEvent } from '@limpetnotch/store';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { ChildContext } from '@limpetnotch/supervision';
import type { Configuration } from '../configuration';
import { ROOT_KEY } from '../format/configurationKeys';
import type { PeerConfigurationSource } from './chunkSource';
import { ConfirmationRecord } from './confirmationRecord';
import { RevisionHolder } from './revisionHolder';
import type { ConfigurationListener } from './revisionHolder';
import { RootReader } from './rootReader';
import type { RootReadResult } from './rootReader';
import { RootWatch } from './rootWatch';

const DEFAULT_PROGRESS_DEADLINE_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 500;
const MINIMUM_READ_INTERVAL_MILLISECONDS = 50;
const MAXIMUM_WATCH_AGE_MILLISECONDS = 60_000;

/** Options of a {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Peers to query while the store is unavailable; none by default. */
  readonly peers?: PeerConfigurationSource | undefined;
  /** Time without a watch event after which the root is read again; 1 second by default. */
  readonly progressDeadlineMilliseconds?: number | undefined;
}

/**
 * Keeps the published configuration in force. A watch on the root reports changes. As a watch can
 * stop delivering events unnoticed, the root is also read after a time without events, or when a
 * peer reports a later revision, and a watch that missed a change is replaced. The last
 * configuration remains in force while the store is unavailable or contains invalid values.
 */
export class ConfigurationFollower {
  readonly #store: KeyValueStore;

  readonly #metrics: Metrics;

  readonly #progressDeadlineMilliseconds: number;

  readonly #holder: RevisionHolder;

  readonly #confirmation: ConfirmationRecord;

  readonly #reader: RootReader;

  #wake = new Deferred();

  #reportedRevision = 0;

  constructor({ store, logger, metrics, ...options }: ConfigurationFollowerOptions) {
    this.#store = store;
    this.#metrics = metrics;
    this.#progressDeadlineMilliseconds =
      options.progressDeadlineMilliseconds ?? DEFAULT_PROGRESS_DEADLINE_MILLISECONDS;
    this.#holder = new RevisionHolder(logger, metrics);
    this.#confirmation = new ConfirmationRecord(logger, metrics);
    this.#reader = new RootReader({
      store,
      metrics,
      peers: options.peers,
      holder: this.#holder,
      confirmation: this.#confirmation,
    });
  }

  /**
   * Returns the configuration in force; the empty one of revision 0 before the first is applied.
   */
  current(): Configuration {
    return this.#holder.current();
  }

  /** Registers a listener for changes; returns a function that removes it. */
  onChange(listener: ConfigurationListener): () => void {
    return this.#holder.onChange(listener);
  }

  /**
   * Returns when the store last confirmed that the configuration in force is the current one, by
   * `performance.now()`, in milliseconds; undefined before the first confirmation.
   */
  lastConfirmedMilliseconds(): number | undefined {
    return this.#confirmation.lastConfirmedMilliseconds();
  }

  /** Returns the root value in force, to serve it to peers. */
  rootValue(): string | undefined {
    return this.#holder.rootValue();
  }

  /** Returns a value of the configuration in force by digest, to serve it to peers. */
  findValue(digest: string): string | undefined {
    return this.#holder.findValue(digest);
  }

  /**
   * Records the revision in force at a peer; if it is later than the local one, reads the root at
   * once.
   */
  reportPeerRevision(revision: number): void {
    if (revision <= this.current().revision) return;
    this.#reportedRevision = Math.max(this.#reportedRevision, revision);
    this.#wake.resolve(undefined);
  }

  /**
   * Follows the root until the signal aborts; ready once a configuration is in force or the store
   * has confirmed that there is none.
   */
  async run({ signal, ready }: ChildContext): Promise<void> {
    while (!signal.aborted) {
      const result = await this.#read();
      if (result.kind === 'confirmed' || this.current().revision > 0) ready();
      const pauseMilliseconds =
        result.kind === 'confirmed'
          ? await this.#follow(result.storeRevision, signal)
          : RETRY_MILLISECONDS;
      await this.#pause(pauseMilliseconds, signal);
    }
  }

  /** Reads the root once; a revision reported during the read triggers another one. */
  async #read(): Promise<RootReadResult> {
    const reportedRevision = this.#reportedRevision;
    this.#reportedRevision = 0;
    this.#wake = new Deferred();
    return this.#reader.read(reportedRevision);
  }

  /**
   * Follows a watch until it has to be replaced; returns the delay before the next in milliseconds.
   */
  async #follow(storeRevision: number, signal: AbortSignal): Promise<number> {
    const watch = new RootWatch(this.#store, storeRevision);
    const close = (): void => watch.close();
    signal.addEventListener('abort', close, { once: true });
    try {
      return await this.#followWatch(watch, signal);
    } finally {
      watch.close();
      signal.removeEventListener('abort', close);
    }
  }

  async #followWatch(watch: RootWatch, signal: AbortSignal): Promise<number> {
    const replaceAt = performance.now() + MAXIMUM_WATCH_AGE_MILLISECONDS;
    while (!signal.aborted && performance.now() < replaceAt) {
      const step = await watch.next(this.#progressDeadlineMilliseconds, this.#wake.promise);
      if (signal.aborted) return 0;
      if (step.kind === 'ended') return RETRY_MILLISECONDS;
      const isWatchValid =
        step.kind === 'event' ? await this.#applyEvent(step.event) : await this.#checkWatch(watch);
      if (!isWatchValid) return MINIMUM_READ_INTERVAL_MILLISECONDS;
      if (step.kind === 'quiet') await delay(MINIMUM_READ_INTERVAL_MILLISECONDS, signal);
    }
    return 0;
  }

  /** Reads the root while the watch is quiet; returns false where the watch missed a change. */
  async #checkWatch(watch: RootWatch): Promise<boolean> {
    const result = await this.#read();
    if (result.kind === 'unconfirmed') return false;
    if (result.rootRevision <= watch.seenRevision()) return true;
    this.#metrics.increment('configuration.silent-watches');
    return false;
  }

  /** Applies an event, which may have been delayed by up to the progress deadline. */
  async #applyEvent(event: WatchEvent): Promise<boolean> {
    const earliestSentAt = performance.now() - this.#progressDeadlineMilliseconds;
    switch (event.kind) {
      case 'progress':
        this.#confirmation.recordConfirmation(earliestSentAt);
        return true;
      case 'put':
        return event.entry.key !== ROOT_KEY || this.#reader.applyEntry(event.entry, earliestSentAt);
      case 'removed':
        return event.key !== ROOT_KEY || this.#reader.applyEntry(undefined, earliestSentAt);
    }
  }

  /** Waits for a time, or less where a peer reports a later revision. */
  async #pause(milliseconds: number, signal: AbortSignal): Promise<void> {
    const minimumMilliseconds = Math.min(milliseconds, MINIMUM_READ_INTERVAL_MILLISECONDS);
    await delay(minimumMilliseconds, signal);
    const controller = new AbortController();
    const stop = (): void => controller.abort();
    signal.addEventListener('abort', stop, { once: true });
    await Promise.race([
      delay(milliseconds - minimumMilliseconds, controller.signal),
      this.#wake.promise,
    ]);
    controller.abort();
    signal.removeEventListener('abort', stop);
  }
}

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
import type { Reading } from './rootReader';
import { RootWatch } from './rootWatch';

const DEFAULT_PROGRESS_DEADLINE_MILLISECONDS = 1_000;
const RETRY_MILLISECONDS = 500;
const MINIMUM_READ_INTERVAL_MILLISECONDS = 50;
const WATCH_AGE_MILLISECONDS = 60_000;

/** Options of a {@link ConfigurationFollower}. */
export interface ConfigurationFollowerOptions {
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Peers that are asked while the store is out; none by default. */
  readonly peers?: PeerConfigurationSource | undefined;
  /** Time without an event of the watch after which the root is read again; 1 second by default. */
  readonly progressDeadlineMilliseconds?: number | undefined;
}

/**
 * Keeps the published configuration in force. One watch on the root tells of changes; it is never
 * trusted to be alive: after a quiet time, or when a peer speaks of a later revision, the root is
 * read again, and a watch that missed a change is replaced. The last set stays in force while
 * the store is out or holds something that can't be used.
 */
export class ConfigurationFollower {
  readonly #store: KeyValueStore;

  readonly #metrics: Metrics;

  readonly #progressDeadlineMilliseconds: number;

  readonly #holder: RevisionHolder;

  readonly #confirmation: ConfirmationRecord;

  readonly #reader: RootReader;

  #wake = new Deferred();

  #notedRevision = 0;

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

  /** Returns the set in force; the empty one of revision 0 before the first. */
  current(): Configuration {
    return this.#holder.current();
  }

  /** Calls a listener after each change; returns a function that ends it. */
  onChange(listener: ConfigurationListener): () => void {
    return this.#holder.onChange(listener);
  }

  /**
   * Returns when the store last confirmed that the set in force is the current one, by the clock of
   * `performance.now()`, in milliseconds; undefined before the first time.
   */
  lastConfirmedMilliseconds(): number | undefined {
    return this.#confirmation.at();
  }

  /** Returns the root value in force, for a peer that asks. */
  rootValue(): string | undefined {
    return this.#holder.rootValue();
  }

  /** Returns a value of the set in force by digest, for a peer that asks. */
  value(digest: string): string | undefined {
    return this.#holder.value(digest);
  }

  /** Takes note of a revision that a peer has in force; a later one than ours is fetched at once. */
  noteRevision(revision: number): void {
    if (revision <= this.current().revision) return;
    this.#notedRevision = Math.max(this.#notedRevision, revision);
    this.#wake.resolve(undefined);
  }

  /** Follows the root until the signal aborts; ready once a set, or its absence, is known. */
  async run({ signal, ready }: ChildContext): Promise<void> {
    while (!signal.aborted) {
      const reading = await this.#read();
      if (reading.kind === 'confirmed' || this.current().revision > 0) ready();
      const pause =
        reading.kind === 'confirmed'
          ? await this.#follow(reading.storeRevision, signal)
          : RETRY_MILLISECONDS;
      await this.#pause(pause, signal);
    }
  }

  /** Reads the root once; what is noted meanwhile leads to another read. */
  async #read(): Promise<Reading> {
    const noted = this.#notedRevision;
    this.#notedRevision = 0;
    this.#wake = new Deferred();
    return this.#reader.read(noted);
  }

  /** Follows one watch, and returns the time in milliseconds to wait before the next. */
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
    const replaceAt = performance.now() + WATCH_AGE_MILLISECONDS;
    while (!signal.aborted && performance.now() < replaceAt) {
      const step = await watch.next(this.#progressDeadlineMilliseconds, this.#wake.promise);
      if (signal.aborted) return 0;
      if (step.kind === 'ended') return RETRY_MILLISECONDS;
      const goesOn =
        step.kind === 'event' ? await this.#applyEvent(step.event) : await this.#checkWatch(watch);
      if (!goesOn) return MINIMUM_READ_INTERVAL_MILLISECONDS;
      if (step.kind === 'quiet') await delay(MINIMUM_READ_INTERVAL_MILLISECONDS, signal);
    }
    return 0;
  }

  /** Reads the root while the watch is quiet; false where the watch has missed a change. */
  async #checkWatch(watch: RootWatch): Promise<boolean> {
    const reading = await this.#read();
    if (reading.kind === 'unconfirmed') return false;
    if (reading.rootRevision <= watch.seenRevision()) return true;
    this.#metrics.increment('configuration.silent-watches');
    return false;
  }

  /** An event may have been on its way for as long as a quiet watch is borne. */
  async #applyEvent(event: WatchEvent): Promise<boolean> {
    const sentAt = performance.now() - this.#progressDeadlineMilliseconds;
    switch (event.kind) {
      case 'progress':
        this.#confirmation.confirm(sentAt);
        return true;
      case 'put':
        return event.entry.key !== ROOT_KEY || this.#reader.applyEntry(event.entry, sentAt);
      case 'removed':
        return event.key !== ROOT_KEY || this.#reader.applyEntry(undefined, sentAt);
    }
  }

  /** Waits for a time, or less where a peer speaks of a later revision. */
  async #pause(milliseconds: number, signal: AbortSignal): Promise<void> {
    const shortest = Math.min(milliseconds, MINIMUM_READ_INTERVAL_MILLISECONDS);
    await delay(shortest, signal);
    const controller = new AbortController();
    const stop = (): void => controller.abort();
    signal.addEventListener('abort', stop, { once: true });
    await Promise.race([delay(milliseconds - shortest, controller.signal), this.#wake.promise]);
    controller.abort();
    signal.removeEventListener('abort', stop);
  }
}

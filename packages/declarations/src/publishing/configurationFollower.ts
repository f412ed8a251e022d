import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreEntry, WatchEvent } from '@limpetnotch/platform';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { ChildContext } from '@limpetnotch/supervision';
import type { Configuration } from '../configuration';
import { ROOT_KEY } from '../format/configurationKeys';
import type { ApplyError } from './applyError';
import type { ChunkSource, PeerConfigurationSource } from './chunkSource';
import { ConfirmationRecord } from './confirmationRecord';
import { describeApplyError } from './describeApplyError';
import { RevisionHolder } from './revisionHolder';
import type { ConfigurationListener } from './revisionHolder';
import { RootWatch } from './rootWatch';
import { StoreChunkSource } from './storeChunkSource';
import { withDeadline } from './withDeadline';

const DEFAULT_PROGRESS_DEADLINE_MILLISECONDS = 1_000;
const READ_DEADLINE_MILLISECONDS = 1_000;
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

/** What a read of the root gave. */
type Reading =
  /** The store's answer is in force; the revisions are the store's. */
  | { readonly kind: 'confirmed'; readonly storeRevision: number; readonly rootRevision: number }
  /** The store gave no usable answer; a peer's root may have been applied. */
  | { readonly kind: 'unconfirmed' };

/**
 * Keeps the published configuration in force. One watch on the root tells of changes; it is never
 * trusted to be alive: after a quiet time, or when a peer speaks of a later revision, the root is
 * read again, and a watch that missed a change is replaced. The last set stays in force while
 * the store is out or holds something that can't be used.
 */
export class ConfigurationFollower {
  readonly #store: KeyValueStore;

  readonly #metrics: Metrics;

  readonly #peers: PeerConfigurationSource | undefined;

  readonly #progressDeadlineMilliseconds: number;

  readonly #holder: RevisionHolder;

  readonly #confirmation: ConfirmationRecord;

  readonly #storeSource: ChunkSource;

  #wake = new Deferred();

  #notedRevision = 0;

  constructor({ store, logger, metrics, ...options }: ConfigurationFollowerOptions) {
    this.#store = store;
    this.#metrics = metrics;
    this.#peers = options.peers;
    this.#progressDeadlineMilliseconds =
      options.progressDeadlineMilliseconds ?? DEFAULT_PROGRESS_DEADLINE_MILLISECONDS;
    this.#holder = new RevisionHolder(logger, metrics);
    this.#confirmation = new ConfirmationRecord(logger, metrics);
    this.#storeSource = new StoreChunkSource(store);
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

  /** Reads the root from the store, or else from a peer, and puts it in force. */
  async #read(): Promise<Reading> {
    const startedAt = performance.now();
    const noted = this.#notedRevision;
    this.#notedRevision = 0;
    this.#wake = new Deferred();
    const listing = await withDeadline(this.#store.list(ROOT_KEY), READ_DEADLINE_MILLISECONDS);
    if (listing?.isOk()) {
      const { entries, revision: storeRevision } = listing.value;
      const entry = entries.find(({ key }) => key === ROOT_KEY);
      const confirmed = await this.#applyEntry(entry, startedAt);
      if (!confirmed) return { kind: 'unconfirmed' };
      return { kind: 'confirmed', storeRevision, rootRevision: entry?.revision ?? 0 };
    }
    const reason = listing?.isErr() ? listing.error.kind : 'no answer within the deadline';
    this.#confirmation.fail(`store: ${reason}`);
    await this.#readFromPeers(noted);
    return { kind: 'unconfirmed' };
  }

  /** Asks peers where one has a later revision, or where nothing is in force yet. */
  async #readFromPeers(noted: number): Promise<void> {
    const { revision } = this.current();
    if (!this.#peers || (revision > 0 && noted <= revision)) return;
    const root = await withDeadline(this.#peers.readRoot(), READ_DEADLINE_MILLISECONDS);
    if (!root?.isOk() || root.value === undefined) return;
    const applied = await this.#holder.apply(root.value, [this.#peers, this.#storeSource]);
    if (applied.isErr()) this.#refuse(applied.error);
    else this.#metrics.increment('configuration.peer-reads');
  }

  /** Puts the root's entry in force, and notes the confirmation; false where it can't be used. */
  async #applyEntry(entry: StoreEntry | undefined, askedAt: number): Promise<boolean> {
    const { revision } = this.current();
    if (!entry && revision > 0) {
      return this.#refuse({ kind: 'lower-revision', offered: 0, current: revision });
    }
    if (entry) {
      const sources = this.#peers ? [this.#storeSource, this.#peers] : [this.#storeSource];
      const applied = await this.#holder.apply(entry.value, sources);
      if (applied.isErr()) return this.#refuse(applied.error);
    }
    this.#confirmation.confirm(askedAt);
    return true;
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
        return event.entry.key !== ROOT_KEY || this.#applyEntry(event.entry, sentAt);
      case 'removed':
        return event.key !== ROOT_KEY || this.#applyEntry(undefined, sentAt);
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

  #refuse(error: ApplyError): false {
    this.#metrics.increment('configuration.refused', 1, { reason: error.kind });
    this.#confirmation.fail(describeApplyError(error));
    return false;
  }
}

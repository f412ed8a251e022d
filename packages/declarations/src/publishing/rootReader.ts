import type { Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreEntry } from '@limpetnotch/store';
import { ROOT_KEY } from '../format/configurationKeys';
import type { ApplyError } from './applyError';
import type { ChunkSource, PeerConfigurationSource } from './chunkSource';
import type { ConfirmationRecord } from './confirmationRecord';
import { describeApplyError } from './describeApplyError';
import type { RevisionHolder } from './revisionHolder';
import { StoreChunkSource } from './storeChunkSource';
import { withDeadline } from './withDeadline';

const READ_DEADLINE_MILLISECONDS = 1_000;

/** What a read of the root gave. */
export type Reading =
  /** The store's answer is in force; the revisions are the store's. */
  | { readonly kind: 'confirmed'; readonly storeRevision: number; readonly rootRevision: number }
  /** The store gave no usable answer; a peer's root may have been applied. */
  | { readonly kind: 'unconfirmed' };

/** Options of a {@link RootReader}. */
export interface RootReaderOptions {
  readonly store: KeyValueStore;
  readonly metrics: Metrics;
  readonly peers: PeerConfigurationSource | undefined;
  readonly holder: RevisionHolder;
  readonly confirmation: ConfirmationRecord;
}

/** Reads roots, puts them in force and notes whether the store confirmed them. */
export class RootReader {
  readonly #store: KeyValueStore;

  readonly #metrics: Metrics;

  readonly #peers: PeerConfigurationSource | undefined;

  readonly #holder: RevisionHolder;

  readonly #confirmation: ConfirmationRecord;

  readonly #storeSource: ChunkSource;

  constructor({ store, metrics, peers, holder, confirmation }: RootReaderOptions) {
    this.#store = store;
    this.#metrics = metrics;
    this.#peers = peers;
    this.#holder = holder;
    this.#confirmation = confirmation;
    this.#storeSource = new StoreChunkSource(store);
  }

  /** Reads the root from the store, or else from a peer that has a later revision in force. */
  async read(notedRevision: number): Promise<Reading> {
    const startedAt = performance.now();
    const listing = await withDeadline(this.#store.list(ROOT_KEY), READ_DEADLINE_MILLISECONDS);
    if (listing?.isOk()) {
      const { entries, revision: storeRevision } = listing.value;
      const entry = entries.find(({ key }) => key === ROOT_KEY);
      const confirmed = await this.applyEntry(entry, startedAt);
      if (!confirmed) return { kind: 'unconfirmed' };
      return { kind: 'confirmed', storeRevision, rootRevision: entry?.revision ?? 0 };
    }
    const reason = listing?.isErr() ? listing.error.kind : 'no answer within the deadline';
    this.#confirmation.fail(`store: ${reason}`);
    await this.#readFromPeers(notedRevision);
    return { kind: 'unconfirmed' };
  }

  /** Asks peers where one has a later revision, or where nothing is in force yet. */
  async #readFromPeers(noted: number): Promise<void> {
    const { revision } = this.#holder.current();
    if (!this.#peers || (revision > 0 && noted <= revision)) return;
    const root = await withDeadline(this.#peers.readRoot(), READ_DEADLINE_MILLISECONDS);
    if (!root?.isOk() || root.value === undefined) return;
    const applied = await this.#holder.apply(root.value, [this.#peers, this.#storeSource]);
    if (applied.isErr()) this.#refuse(applied.error);
    else this.#metrics.increment('configuration.peer-reads');
  }

  /** Puts the root's entry in force, and notes the confirmation; false where it can't be used. */
  async applyEntry(entry: StoreEntry | undefined, askedAt: number): Promise<boolean> {
    const { revision } = this.#holder.current();
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

  #refuse(error: ApplyError): false {
    this.#metrics.increment('configuration.refused', 1, { reason: error.kind });
    this.#confirmation.fail(describeApplyError(error));
    return false;
  }
}

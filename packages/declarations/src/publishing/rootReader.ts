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

/** Result of reading the root. */
export type RootReadResult =
  /** The root in the store is in force; both numbers are revisions of the store. */
  | { readonly kind: 'confirmed'; readonly storeRevision: number; readonly rootRevision: number }
  /** The store was unavailable or its root invalid; the root of a peer may have been applied. */
  | { readonly kind: 'unconfirmed' };

/** Options of a {@link RootReader}. */
export interface RootReaderOptions {
  readonly store: KeyValueStore;
  readonly metrics: Metrics;
  readonly peers: PeerConfigurationSource | undefined;
  readonly holder: RevisionHolder;
  readonly confirmation: ConfirmationRecord;
}

/** Reads and applies roots, and records whether the store confirmed them. */
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

  /**
   * Reads the root from the store or, if that fails, from a peer with a later revision in force.
   */
  async read(reportedRevision: number): Promise<RootReadResult> {
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
    this.#confirmation.recordFailure(`store: ${reason}`);
    await this.#readFromPeers(reportedRevision);
    return { kind: 'unconfirmed' };
  }

  /** Queries peers if one of them reported a later revision, or if nothing is in force yet. */
  async #readFromPeers(reportedRevision: number): Promise<void> {
    const { revision } = this.#holder.current();
    if (!this.#peers || (revision > 0 && reportedRevision <= revision)) return;
    const root = await withDeadline(this.#peers.readRoot(), READ_DEADLINE_MILLISECONDS);
    if (!root?.isOk() || root.value === undefined) return;
    const applied = await this.#holder.apply(root.value, [this.#peers, this.#storeSource]);
    if (applied.isErr()) this.#reject(applied.error);
    else this.#metrics.increment('configuration.peer-reads');
  }

  /**
   * Applies the entry of the root and records the confirmation; returns false if it is rejected.
   */
  async applyEntry(entry: StoreEntry | undefined, requestedAt: number): Promise<boolean> {
    const { revision } = this.#holder.current();
    if (!entry && revision > 0) {
      return this.#reject({ kind: 'lower-revision', offered: 0, current: revision });
    }
    if (entry) {
      const sources = this.#peers ? [this.#storeSource, this.#peers] : [this.#storeSource];
      const applied = await this.#holder.apply(entry.value, sources);
      if (applied.isErr()) return this.#reject(applied.error);
    }
    this.#confirmation.recordConfirmation(requestedAt);
    return true;
  }

  #reject(error: ApplyError): false {
    this.#metrics.increment('configuration.refused', 1, { reason: error.kind });
    this.#confirmation.recordFailure(describeApplyError(error));
    return false;
  }
}

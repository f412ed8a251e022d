import { groupByInstance } from '../util/groupByInstance';
import { rankInstances } from '../util/rankInstances';
import type { BegunStream } from './begunStream';
import type { KeyedOrigin } from './keyedOrigin';
import type { OriginLedger } from './originLedger';
import type { OriginPeers } from './originPeers';
import type { OriginTable } from './originTable';
import type { StreamOrigin } from './streamOrigin';

/** Origins that are recorded within this time are sent together. */
const BATCH_DELAY_MILLISECONDS = 5;

/** Other instances that record an origin, so that it outlives this one and one more. */
const COPIES = 2;

/** Instances asked for an origin; more than {@link COPIES}, as views of the members may differ. */
const ASKED_INSTANCES = 4;

/** Dependencies of an {@link OriginSharing}. */
export interface OriginSharingParts {
  readonly table: OriginTable;
  readonly peers: OriginPeers;
  readonly ledger: Pick<OriginLedger, 'record' | 'find'>;
}

/**
 * Keeps the origins of streams at this instance, at a few others and, where several versions serve, in
 * the store, so that a stream can be resumed after the instances that knew its origin have ended.
 */
export class OriginSharing {
  readonly #parts: OriginSharingParts;

  #unsent: KeyedOrigin[] = [];

  constructor(parts: OriginSharingParts) {
    this.#parts = parts;
  }

  /** Records the origin of a stream when its first event is sent to the caller. */
  record(stream: BegunStream): void {
    const { streamKey, origin } = stream;
    this.#parts.table.record({ streamKey, origin });
    this.#parts.ledger.record(stream);
    this.#unsent.push({ streamKey, origin });
    if (this.#unsent.length > 1) return;
    setTimeout(() => this.#send(), BATCH_DELAY_MILLISECONDS).unref();
  }

  /** Records origins for another instance. */
  receive(origins: readonly KeyedOrigin[]): void {
    origins.forEach((keyedOrigin) => this.#parts.table.record(keyedOrigin));
  }

  /** Returns an origin that this instance knows. */
  findLocal(streamKey: string): StreamOrigin | undefined {
    return this.#parts.table.find(streamKey);
  }

  /** Asks other instances for an origin. */
  async findAtPeers(streamKey: string): Promise<StreamOrigin | undefined> {
    const { peers } = this.#parts;
    const names = rankInstances(streamKey, peers.names).slice(0, ASKED_INSTANCES);
    return peers.findOrigin(names, streamKey);
  }

  /** Returns the origin that the store has. */
  findStored(streamKey: string): Promise<StreamOrigin | undefined> {
    return this.#parts.ledger.find(streamKey);
  }

  #send(): void {
    const { peers } = this.#parts;
    const unsent = this.#unsent;
    this.#unsent = [];
    const byPeer = groupByInstance(unsent, ({ streamKey }) =>
      rankInstances(streamKey, peers.names).slice(0, COPIES),
    );
    byPeer.forEach((origins, name) => {
      void peers.recordOrigins(name, origins);
    });
  }
}

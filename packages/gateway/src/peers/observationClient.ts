import type { KnownPrefix, RelayMessage, RelaySource } from '@limpetnotch/observation';
import type { WorkCounts } from '../work/workCounts';
import type { FleetPeers } from './fleetPeers';
import { fromRelayedMessage, toObserveMessage } from './observationMessage';

/** Parts of an {@link ObservationClient}. */
export interface ObservationClientParts {
  readonly peers: Pick<FleetPeers, 'getStreamClient'>;
  readonly counts: WorkCounts;
}

/** Streams what other instances read from the store. */
export class ObservationClient implements RelaySource {
  readonly #parts: ObservationClientParts;

  constructor(parts: ObservationClientParts) {
    this.#parts = parts;
  }

  async *observe(
    instance: string,
    known: readonly KnownPrefix[],
    signal: AbortSignal,
  ): AsyncGenerator<RelayMessage, void, undefined> {
    const client = this.#parts.peers.getStreamClient(instance);
    if (!client) throw new Error('the instance has left');
    this.#parts.counts.record('peer', 'observeStore');
    const messages = client.observeStore(toObserveMessage(known), { signal });
    for await (const message of messages) yield fromRelayedMessage(message);
  }
}

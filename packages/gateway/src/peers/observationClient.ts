import type { KnownPrefix, RelayMessage, RelaySource } from '@limpetnotch/observation';
import { FleetService, openServerStream } from '@limpetnotch/peer-protocol';
import type { WorkCounts } from '../work/workCounts';
import type { FleetPeers } from './fleetPeers';
import { fromRelayedMessage, toObserveMessage } from './observationMessage';

/** Parts of an {@link ObservationClient}. */
export interface ObservationClientParts {
  readonly peers: Pick<FleetPeers, 'findStreamRoute'>;
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
    const route = this.#parts.peers.findStreamRoute(instance);
    if (!route) throw new Error('the instance has left');
    this.#parts.counts.record('peer', 'observeStore');
    const messages = openServerStream({
      ...route,
      method: FleetService.method.observeStore,
      message: toObserveMessage(known),
      signal,
    });
    for await (const message of messages) yield fromRelayedMessage(message);
  }
}

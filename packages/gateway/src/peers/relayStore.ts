import type { SharedObservation } from '@limpetnotch/observation';
import type {
  MessageInitShape,
  ObserveStoreRequest,
  ObserveStoreResponseSchema,
} from '@limpetnotch/peer-protocol';
import { fromObserveMessage, toRelayedMessage } from './observationMessage';

/** Yields what this instance reads from the store, for one follower. */
export async function* relayStore(
  observation: Pick<SharedObservation, 'relay'>,
  request: ObserveStoreRequest,
  signal: AbortSignal,
): AsyncGenerator<MessageInitShape<typeof ObserveStoreResponseSchema>, void, undefined> {
  const messages = observation.relay(fromObserveMessage(request), signal);
  for await (const message of messages) yield toRelayedMessage(message);
}

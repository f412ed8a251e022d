import type { KnownPrefix, PrefixUpdate, RelayMessage } from '@limpetnotch/observation';
import type {
  MessageInitShape,
  ObserveStoreRequest,
  ObserveStoreRequestSchema,
  ObserveStoreResponse,
  ObserveStoreResponseSchema,
  PrefixUpdate as PrefixUpdateMessage,
} from '@limpetnotch/peer-protocol';

const toUpdateMessage = ({ changes, revision, ...update }: PrefixUpdate) => ({
  ...update,
  revision: BigInt(revision),
  changes: changes.map((change) => ({
    key: change.key,
    revision: BigInt(change.revision),
    ...(change.value === undefined ? {} : { value: change.value }),
  })),
});

const fromUpdateMessage = ({
  prefix,
  isComplete,
  changes,
  revision,
  ageMilliseconds,
  lostMilliseconds,
  regainedMilliseconds,
}: PrefixUpdateMessage): PrefixUpdate => ({
  prefix,
  isComplete,
  revision: Number(revision),
  ageMilliseconds,
  lostMilliseconds,
  regainedMilliseconds,
  changes: changes.map((change) => ({
    key: change.key,
    value: change.value,
    revision: Number(change.revision),
  })),
});

/** Returns what a follower knows. */
export const fromObserveMessage = ({ prefixes }: ObserveStoreRequest): readonly KnownPrefix[] =>
  prefixes.map(({ prefix, revision }) => ({ prefix, revision: Number(revision) }));

/** Returns what a follower knows as a message. */
export const toObserveMessage = (
  known: readonly KnownPrefix[],
): MessageInitShape<typeof ObserveStoreRequestSchema> => ({
  prefixes: known.map(({ prefix, revision }) => ({ prefix, revision: BigInt(revision) })),
});

/** Returns what a reader relays as a message. */
export const toRelayedMessage = ({
  elapsedMilliseconds,
  updates,
}: RelayMessage): MessageInitShape<typeof ObserveStoreResponseSchema> => ({
  elapsedMilliseconds,
  updates: updates.map(toUpdateMessage),
});

/** Returns what a reader relays. */
export const fromRelayedMessage = ({
  elapsedMilliseconds,
  updates,
}: ObserveStoreResponse): RelayMessage => ({
  elapsedMilliseconds,
  updates: updates.map(fromUpdateMessage),
});

import { settleWithin } from '@limpetnotch/supervision';
import { err, ResultAsync } from 'neverthrow';
import type { PeerError } from '../peerChannel';

/** Resolves to an `unreachable` error if a peer call does not complete within the given time. */
export const withPeerDeadline = <Value>(
  operation: ResultAsync<Value, PeerError>,
  milliseconds: number,
): ResultAsync<Value, PeerError> =>
  new ResultAsync(
    settleWithin(operation, milliseconds, () =>
      err({ kind: 'unreachable', detail: `no response within ${milliseconds} ms` }),
    ),
  );

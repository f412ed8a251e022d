import { settleWithin } from '@limpetnotch/supervision';
import { err, ResultAsync } from 'neverthrow';
import type { PeerError } from '../peerChannel';

/** Bounds a call of a peer. */
export const withPeerDeadline = <Value>(
  operation: ResultAsync<Value, PeerError>,
  milliseconds: number,
): ResultAsync<Value, PeerError> =>
  new ResultAsync(
    settleWithin(operation, milliseconds, () =>
      err({ kind: 'unreachable', detail: `no answer within ${milliseconds} ms` }),
    ),
  );

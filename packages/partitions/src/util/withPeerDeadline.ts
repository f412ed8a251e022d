import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ResultAsync } from 'neverthrow';
import type { PeerError } from '../peerChannel';

/** Bounds a call of a peer. */
export const withPeerDeadline = <Value>(
  operation: ResultAsync<Value, PeerError>,
  milliseconds: number,
): ResultAsync<Value, PeerError> => {
  const timeout = new Deferred<Result<Value, PeerError>>();
  const detail = `no answer within ${milliseconds} ms`;
  const timer = setTimeout(
    () => timeout.resolve(err({ kind: 'unreachable', detail })),
    milliseconds,
  );
  const settled = Promise.race([operation, timeout.promise]).finally(() => clearTimeout(timer));
  return new ResultAsync(settled);
};

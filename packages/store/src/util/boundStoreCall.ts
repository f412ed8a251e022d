import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ResultAsync } from 'neverthrow';
import type { StoreError } from '../storeError';

/** Bounds a call of the store; one unanswered in time has an unknown outcome. */
export const boundStoreCall = <Value>(
  operation: ResultAsync<Value, StoreError>,
  milliseconds: number,
): ResultAsync<Value, StoreError> => {
  const timeout = new Deferred<Result<Value, StoreError>>();
  const detail = `no answer within ${milliseconds} ms`;
  const timer = setTimeout(
    () => timeout.resolve(err({ kind: 'unknown-outcome', detail })),
    milliseconds,
  );
  const settled = Promise.race([operation, timeout.promise]).finally(() => clearTimeout(timer));
  return new ResultAsync(settled);
};

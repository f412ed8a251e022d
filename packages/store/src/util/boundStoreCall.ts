import { settleWithin } from '@limpetnotch/supervision';
import { err, ResultAsync } from 'neverthrow';
import type { StoreError } from '../storeError';

/** Bounds a call of the store; one unanswered in time has an unknown outcome. */
export const boundStoreCall = <Value>(
  operation: ResultAsync<Value, StoreError>,
  milliseconds: number,
): ResultAsync<Value, StoreError> =>
  new ResultAsync(
    settleWithin(operation, milliseconds, () =>
      err({ kind: 'unknown-outcome', detail: `no answer within ${milliseconds} ms` }),
    ),
  );

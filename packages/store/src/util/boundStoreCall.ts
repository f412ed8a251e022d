import { settleWithin } from '@limpetnotch/supervision';
import { err, ResultAsync } from 'neverthrow';
import type { StoreError } from '../storeError';

/** Adds a timeout to a store call; a call that times out fails with `unknown-outcome`. */
export const boundStoreCall = <Value>(
  operation: ResultAsync<Value, StoreError>,
  milliseconds: number,
): ResultAsync<Value, StoreError> =>
  new ResultAsync(
    settleWithin(operation, milliseconds, () =>
      err({ kind: 'unknown-outcome', detail: `no response within ${milliseconds} ms` }),
    ),
  );

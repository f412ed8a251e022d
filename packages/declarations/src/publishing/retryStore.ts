import type { StoreError } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import { err } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';

const MAXIMUM_ATTEMPTS = 6;
const FIRST_BACKOFF_MILLISECONDS = 50;

/**
 * Retries a store operation with exponential backoff; returns the last error after all attempts.
 */
export const retryStore = async <Value>(
  request: () => ResultAsync<Value, StoreError>,
): Promise<Result<Value, StoreError>> => {
  let lastResult: Result<Value, StoreError> = err({
    kind: 'unavailable',
    detail: 'the operation was not attempted',
  });
  for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
    if (attempt > 0) await delay(FIRST_BACKOFF_MILLISECONDS * 2 ** attempt);
    lastResult = await request();
    if (lastResult.isOk()) return lastResult;
  }
  return lastResult;
};

import type { StoreError } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import { err } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';

const ATTEMPTS = 6;
const FIRST_BACKOFF_MILLISECONDS = 50;

/** Repeats a request of the store with an exponential backoff; returns the last error at the end. */
export const retryStore = async <Value>(
  request: () => ResultAsync<Value, StoreError>,
): Promise<Result<Value, StoreError>> => {
  let last: Result<Value, StoreError> = err({ kind: 'unavailable', detail: 'not tried' });
  for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
    if (attempt > 0) await delay(FIRST_BACKOFF_MILLISECONDS * 2 ** attempt);
    last = await request();
    if (last.isOk()) return last;
  }
  return last;
};

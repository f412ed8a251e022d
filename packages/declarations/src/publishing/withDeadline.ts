import { delay } from '@limpetnotch/supervision';

/** Waits for a promise with a timeout in milliseconds; returns undefined on timeout. */
export const withDeadline = async <Value>(
  promise: PromiseLike<Value>,
  milliseconds: number,
): Promise<Value | undefined> => {
  const controller = new AbortController();
  try {
    return await Promise.race([
      promise,
      delay(milliseconds, controller.signal).then(() => undefined),
    ]);
  } finally {
    controller.abort();
  }
};

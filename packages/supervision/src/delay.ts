import { Deferred } from './deferred';

/** Waits for a number of milliseconds; returns early, without an error, when the signal aborts. */
export const delay = async (milliseconds: number, signal?: AbortSignal): Promise<void> => {
  if (signal?.aborted) return;
  const finished = new Deferred();
  const finish = (): void => finished.resolve(undefined);
  const timer = setTimeout(finish, milliseconds);
  signal?.addEventListener('abort', finish, { once: true });
  await finished.promise;
  clearTimeout(timer);
  signal?.removeEventListener('abort', finish);
};

import type { Writable } from 'node:stream';

/** Resolves when a stream accepts more data or is closed, or when the signal aborts. */
export const waitUntilWritable = async (stream: Writable, signal: AbortSignal): Promise<void> => {
  if (!stream.writableNeedDrain || stream.destroyed || signal.aborted) return;
  await new Promise<void>((resolve) => {
    const settle = (): void => {
      stream.removeListener('drain', settle);
      stream.removeListener('close', settle);
      signal.removeEventListener('abort', settle);
      resolve();
    };
    stream.once('drain', settle);
    stream.once('close', settle);
    signal.addEventListener('abort', settle);
  });
};

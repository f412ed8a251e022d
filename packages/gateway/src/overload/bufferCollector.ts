import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Received bytes after which the buffers that are no longer used are freed. */
const COLLECTION_BYTES = 4 * 1024 * 1024;

type Collect = (options: { readonly type: 'minor' }) => void;

const findCollect = (): Collect => {
  setFlagsFromString('--expose-gc');
  const collect: unknown = runInNewContext('gc');
  return typeof collect === 'function' ? (collect as Collect) : () => undefined;
};

/**
 * Frees the buffers of received bytes. The runtime allocates one for each read and frees none of
 * them until they amount to 64 MB, which is a third of the memory of the smallest machines.
 */
export class BufferCollector {
  #receivedBytes = 0;

  #collect: Collect | undefined;

  /** Records received bytes; collects when they amount to enough. */
  record(bytes: number): void {
    this.#receivedBytes += bytes;
    if (this.#receivedBytes < COLLECTION_BYTES) return;
    this.#receivedBytes = 0;
    this.#collect ??= findCollect();
    this.#collect({ type: 'minor' });
  }
}

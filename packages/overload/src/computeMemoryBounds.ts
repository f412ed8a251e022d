import type { MemoryBounds } from './memoryBounds';

const MEGABYTE = 1_000_000;

/**
 * Resident memory of an instance that serves little, measured as 107 MB, with room for what the
 * garbage collector has not freed yet.
 */
const BASE_BYTES = 125 * MEGABYTE;

/** Share of the rest that is held; freed memory is not returned to the system at once. */
const HELD_SHARE = 0.5;

/** Lets several bodies of the maximum size be read at once, however small the machine is. */
const LEAST_BYTES = 24 * MEGABYTE;

const REQUEST_SHARE = 0.6;
const RESPONSE_SHARE = 0.6;
const PEER_SHARE = 0.5;
const CACHE_SHARE = 0.3;
const SOURCE_SHARE = 0.3;

/** Derives the bounds from the memory that the platform allows the process. */
export const computeMemoryBounds = (memoryBytes: number): MemoryBounds => {
  const totalBytes = Math.max(LEAST_BYTES, (memoryBytes - BASE_BYTES) * HELD_SHARE);
  return {
    totalBytes,
    kindBytes: {
      request: totalBytes * REQUEST_SHARE,
      response: totalBytes * RESPONSE_SHARE,
      peer: totalBytes * PEER_SHARE,
      cache: totalBytes * CACHE_SHARE,
    },
    sourceBytes: totalBytes * SOURCE_SHARE,
  };
};

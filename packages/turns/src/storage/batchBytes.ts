const BYTES_PER_MEGABYTE = 1024 * 1024;

/** Bytes of turns in one message; only a single turn may be larger. */
export const BATCH_BYTES = 4 * BYTES_PER_MEGABYTE;

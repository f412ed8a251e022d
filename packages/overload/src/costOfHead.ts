/** Memory of a request, its response and their entries in lists, beside its header fields. */
const REQUEST_BYTES = 6 * 1_024;

/**
 * Memory of a header field: two strings, their places in lists and an entry by name, and the same
 * again for the request to a target.
 */
const FIELD_BYTES = 640;

/** Returns the memory that the head of a request takes. */
export const costOfHead = (rawHeaders: readonly string[]): number =>
  REQUEST_BYTES +
  (rawHeaders.length / 2) * FIELD_BYTES +
  rawHeaders.reduce((sum, text) => sum + text.length, 0);

/** Key of the root value. */
export const ROOT_KEY = 'configuration/root';

/** Prefix of chunks and indexes, by digest. */
export const CHUNK_PREFIX = 'configuration/chunks/';

/** Prefix of earlier roots, by revision. */
export const HISTORY_PREFIX = 'configuration/history/';

/** Returns the key of a chunk or an index. */
export const chunkKey = (digest: string): string => `${CHUNK_PREFIX}${digest}`;

/** Returns the key of an earlier root. */
export const historyKey = (revision: number): string => `${HISTORY_PREFIX}${revision}`;

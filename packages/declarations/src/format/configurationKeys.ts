/** Key of the root value. */
export const ROOT_KEY = 'configuration/root';

/** Prefix of the keys of chunks and indexes, which end in the digest. */
export const CHUNK_PREFIX = 'configuration/chunks/';

/** Prefix of the keys of earlier roots, which end in the revision. */
export const HISTORY_PREFIX = 'configuration/history/';

/** Returns the key of a chunk or an index. */
export const chunkKey = (digest: string): string => `${CHUNK_PREFIX}${digest}`;

/** Returns the key of an earlier root. */
export const historyKey = (revision: number): string => `${HISTORY_PREFIX}${revision}`;

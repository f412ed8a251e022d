/** Key prefix of the presence entries of storage instances; the name of the instance follows. */
export const STORAGE_PREFIX = 'limpetnotch/storage/';

/** Common prefix of presence entries and members of storage, so that one watch reports both. */
export const STORAGE_KEYS_PREFIX = 'limpetnotch/storage';

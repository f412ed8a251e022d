import type { ConfigurationRoot } from '../format/configurationRoot';

/** The current root with the store's revision of its key. */
export interface StoredRoot {
  /** Absent before the first publish. */
  readonly root: ConfigurationRoot | undefined;
  /** The value as it stands in the store. */
  readonly value: string | undefined;
  readonly storeRevision: number;
}

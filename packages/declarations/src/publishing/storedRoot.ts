import type { ConfigurationRoot } from '../format/configurationRoot';

/** The current root with the store revision of its key. */
export interface StoredRoot {
  /** Undefined before the first publish. */
  readonly root: ConfigurationRoot | undefined;
  /** The encoded root as stored. */
  readonly value: string | undefined;
  readonly storeRevision: number;
}

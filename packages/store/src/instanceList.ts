import type { ResultAsync } from 'neverthrow';
import type { StoreError } from './storeError';

/** One instance as listed by the platform; the list lags behind. */
export interface ListedInstance {
  /** Name of the instance, without its incarnation. */
  readonly instance: string;
  readonly availabilityZone: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's lagging list of live and leaving instances. */
export interface InstanceList {
  /** Reads the current list; entries that cannot be parsed are omitted. */
  read(): ResultAsync<readonly ListedInstance[], StoreError>;
}

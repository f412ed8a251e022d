import type { ResultAsync } from 'neverthrow';
import type { StoreError } from './storeError';

/** One instance as the platform lists it; the list lags behind. */
export interface ListedInstance {
  /** Name of the instance, without its incarnation. */
  readonly instance: string;
  readonly availabilityZone: string;
  readonly state: 'live' | 'leaving';
}

/** The platform's lagging list of live and leaving instances. */
export interface InstanceList {
  /** Reads the list as the platform has it now; entries that can't be parsed are left out. */
  read(): ResultAsync<readonly ListedInstance[], StoreError>;
}

import type { ResultAsync } from 'neverthrow';
import type { SliceDemand, SliceGrant } from '../slice';

/** Why an exchange brought no answer; the owner may have granted all the same. */
export interface SliceSourceError {
  readonly kind: 'owner-unreachable';
  readonly reason: string;
}

/** Carries demands to the owner of a group of organisations, and its grants back. */
export interface SliceSource {
  /**
   * Sends the demands of organisations of one group in one message. Organisations that the owner
   * leaves out of its answer have no owner there now.
   */
  exchange(
    group: string,
    demands: readonly SliceDemand[],
  ): ResultAsync<readonly SliceGrant[], SliceSourceError>;
}

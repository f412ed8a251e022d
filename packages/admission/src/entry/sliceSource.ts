import type { ResultAsync } from 'neverthrow';
import type { SliceDemand, SliceGrant } from '../slice';

/** Why an exchange got no answer. The owner may have granted the demands nevertheless. */
export interface SliceSourceError {
  readonly kind: 'owner-unreachable';
  readonly reason: string;
}

/** Sends demands to the owner of a group of organisations, and returns its grants. */
export interface SliceSource {
  /**
   * Sends the demands of several organisations of one group in one message. The owner omits
   * organisations that it does not own at present from its answer.
   */
  exchange(
    group: string,
    demands: readonly SliceDemand[],
  ): ResultAsync<readonly SliceGrant[], SliceSourceError>;
}

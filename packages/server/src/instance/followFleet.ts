import type { Membership } from '@limpetnotch/partitions';
import type { InstanceList } from '@limpetnotch/store';
import type { Scheduler } from '@limpetnotch/scheduling';
import { delay } from '@limpetnotch/supervision';
import type { ChildContext } from '@limpetnotch/supervision';

const INTERVAL_MILLISECONDS = 500;
const ROUNDS_PER_LIST = 4;

/** Options of {@link followFleet}. */
export interface FollowFleetOptions {
  readonly membership: Membership;
  readonly scheduler: Scheduler;
  /** The platform's lagging list of live and leaving instances. */
  readonly list: InstanceList;
  /** Called while the platform lists this instance as leaving. */
  readonly onListedAsLeaving: () => void;
}

/**
 * Tells the scheduler which instances share the targets, until the signal aborts. Leases decide who
 * is live; the platform's list lags, so it only tells this instance early that it is to leave.
 */
export const followFleet = async (
  { membership, scheduler, list, onListedAsLeaving }: FollowFleetOptions,
  { signal, ready }: ChildContext,
): Promise<void> => {
  ready();
  for (let round = 0; !signal.aborted; round += 1) {
    scheduler.setFleet(membership.members().map(({ instance }) => instance));
    if (round % ROUNDS_PER_LIST === 0) {
      const listed = await list.read();
      const self = membership.identity.instance;
      const isLeaving =
        listed.isOk() &&
        listed.value.some(({ instance, state }) => instance === self && state === 'leaving');
      if (isLeaving) onListedAsLeaving();
    }
    await delay(INTERVAL_MILLISECONDS, signal);
  }
  scheduler.stop();
};

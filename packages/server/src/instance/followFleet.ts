import type { Membership } from '@limpetnotch/partitions';
import type { InstanceList } from '@limpetnotch/store';
import type { Scheduler } from '@limpetnotch/scheduling';
import { delay } from '@limpetnotch/supervision';
import type { ChildContext } from '@limpetnotch/supervision';

const UPDATE_INTERVAL_MILLISECONDS = 500;
const ROUNDS_PER_LIST_READ = 4;

/** Options of {@link followFleet}. */
export interface FollowFleetOptions {
  readonly membership: Membership;
  readonly scheduler: Scheduler;
  /** The platform's list of live and leaving instances, which lags. */
  readonly instanceList: InstanceList;
  /** Called on each read that lists this instance as leaving. */
  readonly onListedAsLeaving: () => void;
}

/**
 * Notifies the scheduler which instances share the targets, until the signal aborts. Leases decide
 * which instances are live; the platform's list lags, so it only warns this instance that it will
 * be stopped.
 */
export const followFleet = async (
  { membership, scheduler, instanceList, onListedAsLeaving }: FollowFleetOptions,
  { signal, ready }: ChildContext,
): Promise<void> => {
  ready();
  for (let round = 0; !signal.aborted; round += 1) {
    scheduler.setFleet(membership.members().map(({ instance }) => instance));
    if (round % ROUNDS_PER_LIST_READ === 0) {
      const listed = await instanceList.read();
      const self = membership.identity.instance;
      const isLeaving =
        listed.isOk() &&
        listed.value.some(({ instance, state }) => instance === self && state === 'leaving');
      if (isLeaving) onListedAsLeaving();
    }
    await delay(UPDATE_INTERVAL_MILLISECONDS, signal);
  }
  scheduler.stop();
};

import type { CallOrder } from './callOrder';
import type { SchedulingPolicy } from './schedulingPolicy';
import type { TargetPool } from './targetPool';
import type { WaitingCall } from './waitingCall';

const MAXIMUM_CANDIDATES = 128;

/** Yields a pool's calls in the policy's order, limited to the number tried for one slot. */
export function* iterateWaitingCalls(
  pool: TargetPool,
  policy: SchedulingPolicy,
  order: CallOrder,
): Generator<WaitingCall> {
  let remaining = MAXIMUM_CANDIDATES;
  const { queue } = pool;
  if (policy.kind !== 'limpetnotch') {
    yield* queue.inArrivalOrder(remaining);
    return;
  }
  for (const organisation of order.sortOrganisations(queue.organisations())) {
    for (const waiting of order.sortCalls(queue.getCalls(organisation))) {
      if (remaining <= 0) return;
      remaining -= 1;
      yield waiting;
    }
  }
}

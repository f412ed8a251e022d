import type { CallOrder } from './callOrder';
import type { SchedulingPolicy } from './schedulingPolicy';
import type { TargetPool } from './targetPool';
import type { WaitingCall } from './waitingCall';

const MAXIMUM_CANDIDATES = 128;

/** Yields a pool's calls in the policy's order, as many as are tried for one slot. */
export function* waitingCallsInOrder(
  pool: TargetPool,
  policy: SchedulingPolicy,
  order: CallOrder,
): Generator<WaitingCall> {
  let left = MAXIMUM_CANDIDATES;
  const { queue } = pool;
  if (policy.kind !== 'limpetnotch') {
    yield* queue.inArrivalOrder(left);
    return;
  }
  for (const organisation of order.sortOrganisations(queue.organisations())) {
    for (const waiting of order.sortCalls(queue.ofOrganisation(organisation))) {
      if (left <= 0) return;
      left -= 1;
      yield waiting;
    }
  }
}

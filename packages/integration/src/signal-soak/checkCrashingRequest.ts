import type { TargetRun } from '@limpetnotch/stand-ins';
import { findLateRuns } from '../crashing-request/findLateRuns';
import type { RepeatingCaller } from '../crashing-request/repeatingCaller';
import type { SoakInstance } from './soakInstance';
import type { Violation } from './violation';
import { wasDisturbed } from './wasDisturbed';

const MAXIMUM_LATE_RUNS = 3;
/** Checks that a request which crashes its targets was rejected in time. */
export const checkCrashingRequest = (
  caller: RepeatingCaller,
  runs: readonly TargetRun[],
  instances: readonly SoakInstance[],
): readonly Violation[] => {
  const ownRuns = runs.filter(({ requestId }) => caller.isOwnRequest(requestId));
  const instanceByRequest = new Map(
    caller.sent.map(({ instance, record }) => [record.request.id, instance]),
  );
  const lateRuns = findLateRuns(ownRuns).filter(({ requestId, startedAt }) => {
    const instance = instances[instanceByRequest.get(requestId) ?? -1];
    const isDisturbed = instance?.lifetimes.some((one) => wasDisturbed(one, startedAt));
    return isDisturbed === false;
  });
  if (lateRuns.length <= MAXIMUM_LATE_RUNS) return [];
  const text = `a request that had crashed three targets ran ${lateRuns.length} times more`;
  return [{ check: 'crashing', lifetime: '', requestId: lateRuns[0]?.requestId ?? '', text }];
};

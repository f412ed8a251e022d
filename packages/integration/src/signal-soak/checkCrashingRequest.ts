import type { TargetRun } from '@limpetnotch/stand-ins';
import { findLateRuns } from '../crashing-request/findLateRuns';
import type { RepeatingCaller } from '../crashing-request/repeatingCaller';
import type { SoakInstance } from './soakInstance';
import type { Violation } from './violation';

const MAXIMUM_LATE_RUNS = 3;
/** The platform's stable window. */
const STABLE_WINDOW_MILLISECONDS = 3_000;

/** Whether an instance was started or signalled shortly before a moment, or was ever paused. */
const wasDisturbed = ({ lifetimes }: SoakInstance, moment: number): boolean => {
  const isRecent = (at: number): boolean =>
    at <= moment && at > moment - STABLE_WINDOW_MILLISECONDS;
  return lifetimes.some(
    ({ spawnedAt, signals, wasPaused }) =>
      wasPaused || isRecent(spawnedAt) || signals.some(({ at }) => isRecent(at)),
  );
};

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
    return instance !== undefined && !wasDisturbed(instance, startedAt);
  });
  if (lateRuns.length <= MAXIMUM_LATE_RUNS) return [];
  const text = `a request that had crashed three targets ran ${lateRuns.length} times more`;
  return [{ check: 'crashing', lifetime: '', requestId: lateRuns[0]?.requestId ?? '', text }];
};

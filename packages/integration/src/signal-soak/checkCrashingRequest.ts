import type { TargetRun } from '@limpetnotch/stand-ins';
import { lateRunsOf } from '../crashing-request/lateRunsOf';
import type { RepeatingCaller } from '../crashing-request/repeatingCaller';
import type { SoakInstance } from './soakInstance';
import type { Violation } from './violation';

const LATE_RUNS = 3;
/** The platform's stable window. */
const WINDOW_MILLISECONDS = 3_000;

/** Whether an instance was started or signalled shortly before a moment. */
const wasDisturbed = ({ lifetimes }: SoakInstance, moment: number): boolean => {
  const isRecent = (at: number): boolean => at <= moment && at > moment - WINDOW_MILLISECONDS;
  return lifetimes.some(
    ({ spawnedAt, signals, wasPaused }) =>
      wasPaused || isRecent(spawnedAt) || signals.some(({ at }) => isRecent(at)),
  );
};

/** Checks that a request which crashes its targets was stopped in time. */
export const checkCrashingRequest = (
  caller: RepeatingCaller,
  runs: readonly TargetRun[],
  instances: readonly SoakInstance[],
): readonly Violation[] => {
  const own = runs.filter(({ requestId }) => caller.isOwn(requestId));
  const instanceOf = new Map(
    caller.sent.map(({ instance, record }) => [record.request.id, instance]),
  );
  const late = lateRunsOf(own).filter(({ requestId, startedAt }) => {
    const instance = instances[instanceOf.get(requestId) ?? -1];
    return instance !== undefined && !wasDisturbed(instance, startedAt);
  });
  if (late.length <= LATE_RUNS) return [];
  const text = `a request that had crashed three targets ran ${late.length} times more`;
  return [{ check: 'crashing', lifetime: '', requestId: late[0]?.requestId ?? '', text }];
};

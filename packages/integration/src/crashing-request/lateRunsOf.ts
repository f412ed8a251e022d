import type { TargetRun } from '@limpetnotch/stand-ins';
import { thirdCrashOf } from './thirdCrashOf';

/** The platform's stable window, after which a request that crashed three targets is bounded. */
const WINDOW_MILLISECONDS = 3_000;

/** Returns the runs of a request that began later than the window after its third crash. */
export const lateRunsOf = (runs: readonly TargetRun[]): readonly TargetRun[] => {
  const bound = (thirdCrashOf(runs) ?? Infinity) + WINDOW_MILLISECONDS;
  return runs.filter(({ startedAt }) => startedAt > bound);
};

import type { TargetRun } from '@limpetnotch/stand-ins';
import { findThirdCrash } from './findThirdCrash';

/** The platform's stable window, after which it limits a request that crashed three targets. */
const STABLE_WINDOW_MILLISECONDS = 3_000;

/** Returns the runs of a request that started after the stable window following its third crash. */
export const findLateRuns = (runs: readonly TargetRun[]): readonly TargetRun[] => {
  const latestStartAt = (findThirdCrash(runs) ?? Infinity) + STABLE_WINDOW_MILLISECONDS;
  return runs.filter(({ startedAt }) => startedAt > latestStartAt);
};

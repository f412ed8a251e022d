import type { TargetRun } from '@limpetnotch/stand-ins';

const BLAMED_CRASHES = 3;

/** Returns when a request ended its third target; undefined where it ended fewer. */
export const thirdCrashOf = (runs: readonly TargetRun[]): number | undefined =>
  runs.flatMap(({ endedAt }) => endedAt ?? []).sort((one, other) => one - other)[
    BLAMED_CRASHES - 1
  ];

import type { TargetRun } from '@limpetnotch/stand-ins';

const QUARANTINE_CRASHES = 3;

/** Returns when a request crashed its third target; undefined if it crashed fewer. */
export const findThirdCrash = (runs: readonly TargetRun[]): number | undefined =>
  runs.flatMap(({ endedAt }) => endedAt ?? []).sort((one, other) => one - other)[
    QUARANTINE_CRASHES - 1
  ];

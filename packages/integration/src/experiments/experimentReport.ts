import type { SchedulingPolicy } from '@limpetnotch/scheduling';
import type { RunFigures } from './runTally';

/** Figures of one policy at one load. */
export interface LoadPoint {
  readonly policy: SchedulingPolicy['kind'];
  /** Load asked for, as a share of what the engines can do. */
  readonly load: number;
  /** Load that the drawn programs make. */
  readonly offeredLoad: number;
  readonly refusedOverRate: number;
  readonly figures: RunFigures;
}

/** One goal, and whether it was met. */
export interface GoalResult {
  readonly name: string;
  readonly value: number;
  readonly bound: number;
  readonly met: boolean;
}

/** All that one call of the bench found. */
export interface ExperimentReport {
  readonly user: string;
  readonly seed: number;
  readonly durationSeconds: number;
  readonly points: readonly LoadPoint[];
  readonly goals: readonly GoalResult[];
}

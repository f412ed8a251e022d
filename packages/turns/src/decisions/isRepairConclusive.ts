import { countCopies } from './countCopies';
import type { ToleratedLosses } from './toleratedLosses';

/** Arguments of {@link isRepairConclusive}. */
export interface RepairEvidence {
  /** Number of instances that serve and answered, including this one. */
  readonly serving: number;
  /** Members that are not present, hence could not be asked. */
  readonly absent: number;
  /** Present instances that lost turns, including this one if it did. */
  readonly lost: number;
  readonly toleratedLosses: ToleratedLosses;
}

/**
 * Returns whether a repair in which all present instances answered has found every turn: each one has
 * one more copy than machines may be lost, so no more than these may have been absent or have lost
 * turns. With fewer instances than copies, turns still have too few.
 */
export const isRepairConclusive = ({
  serving,
  absent,
  lost,
  toleratedLosses,
}: RepairEvidence): boolean =>
  serving >= countCopies(toleratedLosses) && absent + lost <= toleratedLosses.instances;

import { countCopies } from './countCopies';
import type { ToleratedLosses } from './toleratedLosses';

/** An instance's answer that it does not hold a turn. */
export interface AbsenceAnswer {
  /** Name of the instance. */
  readonly instance: string;
  /** Whether it said that it holds every turn that it should hold. */
  readonly isWhole: boolean;
}

/** Arguments of {@link judgeAbsence}. */
export interface AbsenceEvidence {
  /** Names of all known storage instances, including those that are leaving. */
  readonly known: readonly string[];
  readonly answers: readonly AbsenceAnswer[];
  readonly toleratedLosses: ToleratedLosses;
}

/**
 * Decides whether a turn that no instance returned does not exist. Each turn has one more copy than
 * machines may be lost, so it is absent only if no more than these were silent or not whole. A list
 * with fewer instances than copies is incomplete, and proves nothing.
 */
export const judgeAbsence = ({
  known,
  answers,
  toleratedLosses,
}: AbsenceEvidence): 'absent' | 'unsure' => {
  const names = new Set(known);
  if (names.size < countCopies(toleratedLosses)) return 'unsure';
  answers.forEach(({ instance, isWhole }) => {
    if (isWhole) names.delete(instance);
  });
  return names.size <= toleratedLosses.instances ? 'absent' : 'unsure';
};

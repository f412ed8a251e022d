/** Arguments of {@link mayForgetAbsence}. */
export interface AbsenceRepairs {
  /** Names the absence of a member and the list of present instances. */
  readonly absence: string;
  /**
   * For each present instance, the absences without which it has completed a conclusive repair, each
   * with the list of instances of that repair.
   */
  readonly repairedWithout: readonly (readonly string[])[];
}

/**
 * Returns whether an absent member no longer matters, so that it is no member any more and its machine
 * can be removed: all present instances have fetched what they should hold without it. Repairs with
 * other lists prove nothing, as some turns may then be on an instance that is gone as well.
 */
export const mayForgetAbsence = ({ absence, repairedWithout }: AbsenceRepairs): boolean =>
  repairedWithout.length > 0 && repairedWithout.every((absences) => absences.includes(absence));

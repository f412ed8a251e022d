import type { HistoryEntry, ProgramEnd } from './ledgerSnapshot';
import type { BudgetLimits, ProgramIdentifier, Usage } from './programRecord';

/** A program as shown to its organisation. */
export interface ProgramView {
  readonly program: ProgramIdentifier;
  readonly startedAtMilliseconds: number;
  readonly end: ProgramEnd | undefined;
  /**
   * Calls with recorded outcomes, indexed by sequence. `sharedBody.restore` returns the complete
   * body of a call.
   */
  readonly history: readonly HistoryEntry[];
  /** Sequence of the call in progress, if any. */
  readonly sequenceUnderWay: number | undefined;
  /** Limits of the root program together with its sub-agents. */
  readonly limits: BudgetLimits;
  readonly spent: Usage;
  /** Amounts that are neither spent nor reserved; an absent limit does not apply. */
  readonly left: BudgetLimits;
}

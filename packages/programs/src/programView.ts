import type { HistoryEntry, ProgramEnd } from './ledgerSnapshot';
import type { BudgetLimits, ProgramIdentifier, Usage } from './programRecord';

/** A program as its organisation may read it. */
export interface ProgramView {
  readonly program: ProgramIdentifier;
  readonly startedAtMilliseconds: number;
  readonly end: ProgramEnd | undefined;
  /**
   * Calls with recorded outcomes; the entry of a sequence is at that index. `sharedBody.wholeOf`
   * gives the whole body of one.
   */
  readonly history: readonly HistoryEntry[];
  /** Sequence of the call under way, if there is one. */
  readonly sequenceUnderWay: number | undefined;
  /** Limits of the root and its sub-agents together. */
  readonly limits: BudgetLimits;
  readonly spent: Usage;
  /** What is neither spent nor reserved; an absent limit does not bind. */
  readonly left: BudgetLimits;
}

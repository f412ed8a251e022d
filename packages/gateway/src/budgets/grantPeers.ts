import type { Loan, LoanRequest } from './loan';
import type { MemberListsInForce } from './majorities';

/** Promises of another instance. */
export interface PeerPromises {
  readonly name: string;
  /** Keys of the budgets that it has promised. */
  readonly budgetKeys: readonly string[];
  readonly isComplete: boolean;
  /** Lists of members that were replaced while a grant may still matter. */
  readonly formerLists: MemberListsInForce;
}

/** What another instance told when it returned tokens of a budget. */
export interface BudgetRelease {
  readonly name: string;
  /** Instances that it lent tokens to or borrowed some from. */
  readonly sharers: readonly string[];
  /** Whether it knows all of them. */
  readonly hasAllSharers: boolean;
}

/** Calls to the other instances about budgets. */
export interface GrantPeers {
  /**
   * Borrows tokens if the store is unreachable or a peer may hold some: from the named instances or,
   * if none are named, from a few.
   */
  borrowBudget(request: LoanRequest, names?: readonly string[]): Promise<Loan>;
  /** Notifies the other instances that a program has started here. */
  announceProgram(budgetKey: string): void;
  /**
   * Makes other instances, all if none are named, return to the store what they hold of a budget;
   * those that don't respond are left out of the result.
   */
  releaseBudget(budgetKey: string, names?: readonly string[]): Promise<readonly BudgetRelease[]>;
  /** Asks all other instances for their promises; those that don't respond are left out. */
  listPromises(): Promise<readonly PeerPromises[]>;
}

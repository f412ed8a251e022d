import type { GrantPromise } from './grantMemory';
import type { Loan, LoanRequest } from './loan';
import type { MemberListsInForce } from './majorities';

/** Promises of another instance. */
export interface PeerPromises {
  readonly name: string;
  /** Promises, its own and those that it knows of, for grants that the store may not have. */
  readonly promises: readonly GrantPromise[];
  readonly isComplete: boolean;
  /** Whether it can reach the store, so that it leaves no further grants to others. */
  readonly canUseStore: boolean;
  /** Lists of members on which a grant that still matters may rest. */
  readonly memberLists: MemberListsInForce;
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
  /** Asks other instances for their promises; those that don't respond are left out. */
  listPromises(names: readonly string[]): Promise<readonly PeerPromises[]>;
}

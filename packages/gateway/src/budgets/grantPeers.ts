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

/** Calls to the other instances about budgets. */
export interface GrantPeers {
  /** Borrows tokens if the store is unreachable or a peer may hold some. */
  borrowBudget(request: LoanRequest): Promise<Loan>;
  /** Notifies the other instances that a program has started here. */
  announceProgram(budgetKey: string): void;
  /** Makes the other instances return to the store what they hold of a budget. */
  releaseBudget(budgetKey: string): Promise<void>;
  /** Asks all other instances for their promises; those that don't respond are left out. */
  listPromises(): Promise<readonly PeerPromises[]>;
}

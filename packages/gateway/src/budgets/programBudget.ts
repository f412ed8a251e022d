import { createHash } from 'node:crypto';
import { EscrowAccount } from '@limpetnotch/programs';
import type { StoredBudget } from './storedBudget';

/** Prefix of the keys that hold programs' token budgets. */
export const BUDGET_PREFIX = 'budgets/';

/** Key of a program's budget in the store and among instances. */
export const budgetKeyOf = (programId: string): string =>
  `${BUDGET_PREFIX}${createHash('sha256').update(programId).digest('base64url')}`;

/** What one instance knows of a program's token budget. */
export interface ProgramBudget {
  readonly key: string;
  readonly account: EscrowAccount;
  /** State and revision of the store as last seen; undefined where nothing was seen. */
  seen: { readonly state: StoredBudget; readonly revision: number } | undefined;
  /** Ends when the last change of this program's key has ended. */
  changing: Promise<unknown>;
  usedAtMilliseconds: number;
  /** Tokens granted while the store was out of reach, which it doesn't know of yet. */
  unrecordedTokens: number;
  /** Tokens that all turns of the program may generate; 0 until a turn has said so. */
  limitTokens: number;
  /** Tokens that may have been granted without the store, as far as this instance can't rule out. */
  presumedTokens: number;
  /** Until then the store is not asked again whether it knows the program. */
  absentUntilMilliseconds: number;
  /** Whether a turn was ever granted tokens here. */
  hasGranted: boolean;
  /** Whether another instance is known to hold tokens of it, or did so lately. */
  isShared: boolean;
  /** Turns that wait for tokens. */
  acquiring: number;
  /** Until then the budget is taken for spent by turns of this size or larger. */
  spent: { readonly untilMilliseconds: number; readonly turnTokens: number } | undefined;
}

/** Returns the budget of a program of which nothing is known yet. */
export const createProgramBudget = (key: string): ProgramBudget => ({
  key,
  account: new EscrowAccount(),
  seen: undefined,
  changing: Promise.resolve(),
  usedAtMilliseconds: performance.now(),
  unrecordedTokens: 0,
  limitTokens: 0,
  presumedTokens: 0,
  absentUntilMilliseconds: 0,
  hasGranted: false,
  isShared: false,
  acquiring: 0,
  spent: undefined,
});

/** Runs changes of one budget one after another. */
export const serialise = async <Value>(
  budget: ProgramBudget,
  work: () => Promise<Value>,
): Promise<Value> => {
  const done = budget.changing.then(work);
  const entry = budget;
  entry.changing = done.catch(() => undefined);
  return done;
};

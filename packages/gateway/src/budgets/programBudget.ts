import { EscrowAccount } from '@limpetnotch/programs';
import { toDigestKey } from '../util/toDigestKey';
import type { StoredBudget } from './storedBudget';

/** Prefix of the store keys of program token budgets. */
export const BUDGET_PREFIX = 'budgets/';

/** Returns the key of a program's budget, both in the store and between instances. */
export const toBudgetKey = (programId: string): string => toDigestKey(BUDGET_PREFIX, programId);

/** Local state of a program's token budget on one instance. */
export interface ProgramBudget {
  readonly key: string;
  readonly account: EscrowAccount;
  /** Last state and revision read from or written to the store; undefined if the store has none. */
  stored: { readonly state: StoredBudget; readonly revision: number } | undefined;
  /** Settles when the last queued change of this budget has ended. */
  lastChange: Promise<unknown>;
  lastUsedAtMilliseconds: number;
  /** Tokens granted while the store was unreachable and not recorded there yet. */
  unrecordedTokens: number;
  /**
   * Maximum tokens that all turns of the program together may generate; 0 until a turn has
   * specified it.
   */
  limitTokens: number;
  /**
   * Tokens that another instance, or an earlier process of this one, may have granted without the
   * store.
   */
  presumedTokens: number;
  /** Time until which the store is not queried again for this absent program. */
  absentUntilMilliseconds: number;
  /** Whether this instance has granted tokens to a turn. */
  hasGranted: boolean;
  /** Whether this instance made the first grant to the program. */
  isFirstGrantOwn: boolean;
  /** Instances that lent tokens to this one or borrowed some from it. */
  readonly sharers: Set<string>;
  /** Whether an instance of an unknown name borrowed tokens. */
  hasUnknownSharers: boolean;
  /** Number of turns that wait for tokens. */
  waitingTurns: number;
  /** Time until which turns of this size or larger are refused without querying the store. */
  spent:
    | {
        readonly untilMilliseconds: number;
        readonly turnTokens: number;
        readonly cacheMilliseconds: number;
      }
    | undefined;
}

/** Creates the empty local state of a program's budget. */
export const createProgramBudget = (key: string): ProgramBudget => ({
  key,
  account: new EscrowAccount(),
  stored: undefined,
  lastChange: Promise.resolve(),
  lastUsedAtMilliseconds: performance.now(),
  unrecordedTokens: 0,
  limitTokens: 0,
  presumedTokens: 0,
  absentUntilMilliseconds: 0,
  hasGranted: false,
  isFirstGrantOwn: false,
  sharers: new Set(),
  hasUnknownSharers: false,
  waitingTurns: 0,
  spent: undefined,
});

/** Runs the changes of one budget sequentially. */
export const serialise = async <Value>(
  budget: ProgramBudget,
  work: () => Promise<Value>,
): Promise<Value> => {
  const done = budget.lastChange.then(work);
  const mutableBudget = budget;
  mutableBudget.lastChange = done.catch(() => undefined);
  return done;
};

import { createHash, randomUUID } from 'node:crypto';
import type { Logger, Metrics } from '@limpetnotch/observability';
import { EscrowAccount } from '@limpetnotch/programs';
import type { KeyValueStore, StoreEntry } from '@limpetnotch/store';
import { compareAndSwapUntilKnown } from '@limpetnotch/store';
import { z } from 'zod';
import type { BudgetDecision, BudgetGate, BudgetRequest } from './budgetGate';

const PREFIX = 'budgets/';

/** A turn waits at most this long for its grant; a store in good order answers in milliseconds. */
const GRANT_TIMEOUT_MILLISECONDS = 1_000;

/** Writes for one turn or one release; each conflict means that another instance went ahead. */
const MAXIMUM_WRITES = 8;

/** Callers come back once a short loss of the store may be over. */
const RETRY_AFTER_SECONDS = 0.5;

/**
 * Time for which a spent budget is taken for spent without asking again. Programs that run away
 * come back many times a second; what a turn under way gives back may come in meanwhile.
 */
const SPENT_MILLISECONDS = 500;

/** Programs that this instance remembers; the longest unused go first. */
const MAXIMUM_ACCOUNTS = 20_000;

/** An account without turns for this long is forgotten; programs may return after a minute. */
const ACCOUNT_IDLE_MILLISECONDS = 120_000;

const stateSchema = z.object({
  limitTokens: z.number().int(),
  grantedTokens: z.number().int(),
  /** Identifies the write, so that a writer whose answer was lost knows its own. */
  writeId: z.string(),
});

type StoredState = z.infer<typeof stateSchema>;

interface ProgramBudget {
  readonly account: EscrowAccount;
  /** State and revision of the store as last seen; undefined where nothing was seen. */
  seen: { readonly state: StoredState; readonly revision: number } | undefined;
  /** Ends when the last change of this program's key has ended. */
  changing: Promise<unknown>;
  usedAtMilliseconds: number;
  /** Until then the budget is taken for spent by turns of this size or larger. */
  spent: { readonly untilMilliseconds: number; readonly turnTokens: number } | undefined;
}

/** Parts of {@link EscrowBudgets}. */
export interface EscrowBudgetsParts {
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Has the other instances give back what they hold of a budget; resolves to how much it was. */
  readonly recall: (budgetKey: string) => Promise<number>;
}

const keyOf = (programId: string): string =>
  `${PREFIX}${createHash('sha256').update(programId).digest('base64url')}`;

const parseState = (entry: StoreEntry): StoredState | undefined => {
  try {
    return stateSchema.parse(JSON.parse(entry.value));
  } catch {
    // The caller treats a state that can't be read as a budget that can't be granted.
    return undefined;
  }
};

/** Token budgets of programs, in escrow: one key of the store for each program. */
export class EscrowBudgets implements BudgetGate {
  readonly #parts: EscrowBudgetsParts;

  /** In the order of their last use. */
  readonly #budgets = new Map<string, ProgramBudget>();

  constructor(parts: EscrowBudgetsParts) {
    this.#parts = parts;
  }

  async reserve(request: BudgetRequest): Promise<BudgetDecision> {
    const key = keyOf(request.programId);
    const budget = this.#budgetOf(key);
    if (!budget.account.reserve(request.turnTokens)) {
      const obtained = await this.#serialised(budget, () => this.#obtain(key, budget, request));
      if (obtained !== 'reserved') return this.#refusalOf(obtained);
    }
    return {
      kind: 'reserved',
      settle: (usedTokens) => budget.account.settle(request.turnTokens, usedTokens),
    };
  }

  async hasBegun(programId: string): Promise<boolean> {
    const key = keyOf(programId);
    const budget = this.#budgetOf(key);
    if (!budget.seen) await this.#serialised(budget, () => this.#refresh(key, budget));
    return budget.seen !== undefined;
  }

  /** Gives back to the store what this instance holds of a budget; resolves to how much it was. */
  async release(key: string): Promise<number> {
    const budget = this.#budgets.get(key);
    if (!budget || budget.account.heldTokens === 0) return 0;
    return this.#serialised(budget, () => this.#giveBack(key, budget));
  }

  /** Writes what is held back to the store; other instances may do the same at the same time. */
  async #giveBack(key: string, budget: ProgramBudget): Promise<number> {
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      const tokens = budget.account.withdraw();
      if (tokens === 0) return 0;
      const written = await this.#change(key, budget, -tokens);
      if (written === 'done') return tokens;
      // Where the outcome is unknown the tokens are lost to the program, and never spent twice.
      if (written === 'failed') return 0;
      budget.account.receive(tokens);
    }
    return 0;
  }

  #refusalOf(reason: 'spent' | 'unavailable'): BudgetDecision {
    return reason === 'spent'
      ? { kind: 'spent' }
      : { kind: 'unavailable', retryAfterSeconds: RETRY_AFTER_SECONDS };
  }

  async #serialised<Value>(budget: ProgramBudget, work: () => Promise<Value>): Promise<Value> {
    const done = budget.changing.then(work);
    const entry = budget;
    entry.changing = done.catch(() => undefined);
    return done;
  }

  /** Takes tokens from the store until the turn's are reserved, or it is known that there are none. */
  async #obtain(
    key: string,
    budget: ProgramBudget,
    { programId, limitTokens, turnTokens }: BudgetRequest,
  ): Promise<'reserved' | 'spent' | 'unavailable'> {
    let hasRecalled = false;
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      if (budget.account.reserve(turnTokens)) return 'reserved';
      if (this.#isSpent(budget, turnTokens)) return 'spent';
      const state = budget.seen?.state ?? { limitTokens, grantedTokens: 0 };
      const plan = budget.account.plan(turnTokens, state);
      if (plan.kind === 'exhausted') {
        if (hasRecalled) return this.#noteSpent(programId, budget, turnTokens);
        hasRecalled = true;
        await this.#parts.recall(key);
        if (!(await this.#refresh(key, budget))) return 'unavailable';
      }
      if (plan.kind === 'take') {
        const written = await this.#change(key, budget, plan.tokens, limitTokens);
        if (written === 'done') budget.account.receive(plan.tokens);
        if (written === 'failed') return 'unavailable';
      }
    }
    return 'unavailable';
  }

  #isSpent({ spent }: ProgramBudget, turnTokens: number): boolean {
    return (
      spent !== undefined &&
      turnTokens >= spent.turnTokens &&
      performance.now() < spent.untilMilliseconds
    );
  }

  #noteSpent(programId: string, budget: ProgramBudget, turnTokens: number): 'spent' {
    const known = budget;
    known.spent = { turnTokens, untilMilliseconds: performance.now() + SPENT_MILLISECONDS };
    this.#parts.logger.info('budget.spent', {
      program: programId,
      limitTokens: budget.seen?.state.limitTokens,
      grantedTokens: budget.seen?.state.grantedTokens,
      heldTokens: budget.account.heldTokens,
      reservedTokens: budget.account.reservedTokens,
      turnTokens,
      revision: budget.seen?.revision,
    });
    return 'spent';
  }

  /** Reads the state anew; returns false where the store gave none. */
  async #refresh(key: string, budget: ProgramBudget): Promise<boolean> {
    const read = await this.#parts.store.read(key);
    if (read.isErr()) return false;
    return this.#see(budget, read.value);
  }

  #see(budget: ProgramBudget, entry: StoreEntry | undefined): boolean {
    const state = entry && parseState(entry);
    if (entry && !state) {
      this.#parts.logger.error('budget.unreadable', { key: entry.key, revision: entry.revision });
      return false;
    }
    const known = budget;
    known.seen = entry && state ? { state, revision: entry.revision } : undefined;
    return true;
  }

  /** Changes the granted tokens by one compare-and-swap. */
  async #change(
    key: string,
    budget: ProgramBudget,
    tokens: number,
    limitTokens = 0,
  ): Promise<'done' | 'conflict' | 'failed'> {
    const { store, metrics, logger } = this.#parts;
    const before = budget.seen?.state ?? { limitTokens, grantedTokens: 0 };
    const state: StoredState = {
      limitTokens: before.limitTokens,
      grantedTokens: Math.max(0, before.grantedTokens + tokens),
      writeId: randomUUID(),
    };
    metrics.increment('budget.writes');
    const written = await compareAndSwapUntilKnown({
      store,
      request: {
        key,
        expectedRevision: budget.seen?.revision ?? 0,
        value: JSON.stringify(state),
      },
      isOwnWrite: (entry) => parseState(entry)?.writeId === state.writeId,
      signal: AbortSignal.timeout(GRANT_TIMEOUT_MILLISECONDS),
    });
    const known = budget;
    if (written.isErr()) {
      logger.info('budget.write-failed', { error: written.error.kind, tokens });
      return 'failed';
    }
    if (written.value.kind === 'swapped') {
      known.seen = { state, revision: written.value.revision };
      return 'done';
    }
    return this.#see(budget, written.value.current) ? 'conflict' : 'failed';
  }

  #budgetOf(key: string): ProgramBudget {
    const known = this.#budgets.get(key);
    const budget: ProgramBudget = known ?? {
      account: new EscrowAccount(),
      seen: undefined,
      changing: Promise.resolve(),
      usedAtMilliseconds: 0,
      spent: undefined,
    };
    budget.usedAtMilliseconds = performance.now();
    this.#budgets.delete(key);
    this.#budgets.set(key, budget);
    if (!known) this.#forgetUnused();
    return budget;
  }

  #forgetUnused(): void {
    const idleSince = performance.now() - ACCOUNT_IDLE_MILLISECONDS;
    for (const [key, { usedAtMilliseconds, account }] of this.#budgets) {
      const isUnused = account.reservedTokens === 0 && usedAtMilliseconds < idleSince;
      if (!isUnused && this.#budgets.size <= MAXIMUM_ACCOUNTS) return;
      if (account.reservedTokens === 0) this.#budgets.delete(key);
    }
  }
}

import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import { RecentKeys } from '../util/recentKeys';
import type { BudgetDecision, BudgetGate, BudgetRequest } from './budgetGate';
import { BudgetLedger, firstState } from './budgetLedger';
import type { LedgerOutcome } from './budgetLedger';
import type { Loan, LoanAnswer, LoanRequest } from './loan';
import type { ProgramBudget } from './programBudget';
import { presumedTokensOf, trustedTokensOf } from './trust';
import { budgetKeyOf, createProgramBudget, serialise } from './programBudget';

/** Part of what is held that a loan takes, so that a program that has moved needs few of them. */
const PART_LENT = 0.5;

/** Writes for one turn or one release; each conflict means that another instance went ahead. */
const MAXIMUM_WRITES = 8;

/** Callers come back once a short loss of the store may be over. */
const RETRY_AFTER_SECONDS = 0.5;

/**
 * Time for which a spent budget is taken for spent without asking again. Programs that run away
 * come back many times a second; what a turn under way gives back may come in meanwhile.
 */
const SPENT_MILLISECONDS = 500;

/** Time for which a program is taken for new that the store didn't know; its caller tries again soon. */
const ABSENT_MILLISECONDS = 2_000;

/** Programs that this instance remembers; the longest unused go first. */
const MAXIMUM_ACCOUNTS = 20_000;

/** An account without turns for this long is forgotten; programs may return after a minute. */
const ACCOUNT_IDLE_MILLISECONDS = 120_000;

type Obtained = 'reserved' | 'spent' | 'unavailable';

/** Parts of {@link EscrowBudgets}. */
export interface EscrowBudgetsParts {
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Asks the other instances for tokens that this one can't get from the store. */
  readonly borrow: (request: LoanRequest) => Promise<Loan>;
  /** Tells the other instances that a program has begun here. */
  readonly announce: (budgetKey: string) => void;
  /** Has the other instances give back what they hold of a budget. */
  readonly recall: (budgetKey: string) => Promise<void>;
  /** Whether no earlier process of this instance can have granted tokens. */
  readonly isFirstProcess: () => boolean;
  /** Instances that may grant tokens, this one included, present or not. */
  readonly memberCount: () => number;
}

/** Token budgets of programs, in escrow: one key of the store for each program. */
export class EscrowBudgets implements BudgetGate {
  readonly #parts: EscrowBudgetsParts;

  readonly #ledger: BudgetLedger;

  /** In the order of their last use. */
  readonly #budgets = new Map<string, ProgramBudget>();

  /** Budgets of programs that have begun, here or elsewhere. */
  readonly #begun = new RecentKeys(MAXIMUM_ACCOUNTS);

  #hasListed = false;

  #isCutOff = false;

  constructor(parts: EscrowBudgetsParts) {
    this.#parts = parts;
    this.#ledger = new BudgetLedger(parts);
  }

  /** Whether the last turn that needed tokens got them neither from the store nor from a peer. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  async reserve(request: BudgetRequest): Promise<BudgetDecision> {
    const budget = this.#budgetOf(budgetKeyOf(request.programId));
    budget.limitTokens = request.limitTokens;
    if (!budget.account.reserve(request.turnTokens)) {
      budget.acquiring += 1;
      const obtained = await serialise(budget, () => this.#acquire(budget, request));
      budget.acquiring -= 1;
      this.#isCutOff = obtained === 'unavailable';
      if (obtained !== 'reserved') return this.#refusalOf(obtained);
    }
    this.#noteGrant(budget);
    return {
      kind: 'reserved',
      settle: (usedTokens) => budget.account.settle(request.turnTokens, usedTokens),
    };
  }

  async hasBegun(programId: string): Promise<boolean> {
    const key = budgetKeyOf(programId);
    if (this.#begun.has(key)) return true;
    const budget = this.#budgetOf(key);
    if (budget.seen) return true;
    if (performance.now() < budget.absentUntilMilliseconds) return false;
    if (!this.#ledger.isReachable()) return false;
    await serialise(budget, () => this.#ledger.refresh(budget));
    budget.absentUntilMilliseconds = performance.now() + ABSENT_MILLISECONDS;
    return budget.seen !== undefined;
  }

  /** Remembers that a program has begun at another instance. */
  noteBegun(key: string): void {
    this.#begun.note(key);
  }

  /**
   * Learns from the store which programs have begun, as an earlier process of this instance may
   * have granted tokens; returns whether the store answered.
   */
  async learnBegun(): Promise<boolean> {
    const beganMilliseconds = performance.now();
    const keys = await this.#ledger.listKeys();
    if (!keys) return false;
    keys.forEach((key) => this.#begun.note(key));
    this.#hasListed = true;
    this.#parts.logger.info('budget.begun-learned', {
      programs: keys.length,
      milliseconds: Math.round(performance.now() - beganMilliseconds),
    });
    return true;
  }

  /** Gives back to the store what this instance holds of a budget. */
  async release(key: string): Promise<void> {
    const budget = this.#budgets.get(key);
    if (!budget || budget.account.heldTokens === 0) return;
    await serialise(budget, () => this.#giveBack(budget));
  }

  /** Lends tokens to another instance: of what is held here, or, if it may, from the store. */
  async lend(request: LoanRequest): Promise<LoanAnswer> {
    const { budget: key, limitTokens, turnTokens, mayUseStore } = request;
    const isHeld = (this.#budgets.get(key)?.account.heldTokens ?? 0) >= turnTokens;
    const canUseStore = this.#ledger.isReachable();
    if (!isHeld && !(mayUseStore && canUseStore)) return this.#nothingToLend(key);
    const budget = this.#budgetOf(key);
    budget.limitTokens = limitTokens;
    return serialise(budget, async (): Promise<LoanAnswer> => {
      const { account } = budget;
      const tokens = Math.max(turnTokens, Math.floor(account.heldTokens * PART_LENT));
      const obtained =
        mayUseStore && canUseStore
          ? await this.#obtain(budget, { programId: key, turnTokens: tokens })
          : this.#reserveHeld(budget, tokens);
      if (obtained === 'spent') return { kind: 'spent' };
      if (obtained === 'unavailable') return this.#nothingToLend(key);
      account.settle(tokens, tokens);
      budget.isShared = true;
      return { kind: 'lent', tokens };
    });
  }

  /** Writes to the store what was granted while it was out of reach. */
  async recordGrants(): Promise<void> {
    const unrecorded = [...this.#budgets.values()].filter(
      ({ unrecordedTokens }) => unrecordedTokens > 0,
    );
    for (const budget of unrecorded) {
      const written = await serialise(budget, () => this.#record(budget));
      if (written === 'failed') return;
    }
  }

  async #record(budget: ProgramBudget): Promise<LedgerOutcome> {
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      if (budget.unrecordedTokens === 0) return 'done';
      const written = await this.#ledger.change(budget, 0);
      if (written !== 'conflict') return written;
    }
    return 'conflict';
  }

  /** Writes what is held back to the store; other instances may do the same at the same time. */
  async #giveBack(budget: ProgramBudget): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      const tokens = budget.account.withdraw();
      if (tokens === 0) return;
      // Where the outcome is unknown the tokens are lost to the program, and never spent twice.
      if ((await this.#ledger.change(budget, -tokens)) !== 'conflict') return;
      budget.account.receive(tokens);
    }
  }

  #noteGrant(budget: ProgramBudget): void {
    if (budget.hasGranted) return;
    const granted = budget;
    granted.hasGranted = true;
    const isNews = !this.#begun.has(budget.key);
    this.#begun.note(budget.key);
    if (isNews) this.#parts.announce(budget.key);
  }

  #refusalOf(reason: 'spent' | 'unavailable'): BudgetDecision {
    return reason === 'spent'
      ? { kind: 'spent' }
      : { kind: 'unavailable', retryAfterSeconds: RETRY_AFTER_SECONDS };
  }

  #nothingToLend(key: string): LoanAnswer {
    return {
      kind: 'none',
      isKnown: this.#isKnown(key),
      isMemoryWhole: this.#isMemoryWhole,
      canUseStore: this.#ledger.isReachable(),
    };
  }

  /** A program whose first turn waits here counts as known, so that two never trust it at once. */
  #isKnown(key: string): boolean {
    const budget = this.#budgets.get(key);
    if (this.#begun.has(key)) return true;
    return budget !== undefined && (budget.acquiring > 0 || budget.seen !== undefined);
  }

  /** Whether this instance knows every program that its member has granted tokens to. */
  get #isMemoryWhole(): boolean {
    return this.#hasListed || this.#parts.isFirstProcess();
  }

  #reserveHeld({ account }: ProgramBudget, tokens: number): 'reserved' | 'unavailable' {
    return account.reserve(tokens) ? 'reserved' : 'unavailable';
  }

  /** Takes tokens from the store, from a peer, or, for a program that is new to all, on trust. */
  async #acquire(budget: ProgramBudget, request: BudgetRequest): Promise<Obtained> {
    const { account } = budget;
    if (account.reserve(request.turnTokens)) return 'reserved';
    const hasMoved = !budget.hasGranted && (request.isContinuation || this.#begun.has(budget.key));
    if (hasMoved || budget.isShared) {
      if (await this.#borrowHeld(budget, request.turnTokens)) return 'reserved';
    }
    if (this.#ledger.isReachable()) {
      const obtained = await this.#obtain(budget, request);
      if (obtained !== 'unavailable') return obtained;
    }
    const loan = await this.#borrow(budget, request.turnTokens, true);
    switch (loan.kind) {
      case 'lent':
        return this.#reserveHeld(budget, request.turnTokens);
      case 'spent':
        return 'spent';
      case 'none':
        return loan.mayHaveBegun ? 'unavailable' : this.#trust(budget, request, loan.answers);
    }
  }

  async #borrow(budget: ProgramBudget, turnTokens: number, mayUseStore: boolean): Promise<Loan> {
    const { key, limitTokens, account } = budget;
    const loan = await this.#parts.borrow({ budget: key, limitTokens, turnTokens, mayUseStore });
    if (loan.kind === 'lent') {
      account.receive(loan.tokens);
      const shared = budget;
      shared.isShared = true;
    }
    return loan;
  }

  /** Borrows what a peer holds for a program that has moved here, which costs no call to the store. */
  async #borrowHeld(budget: ProgramBudget, turnTokens: number): Promise<boolean> {
    await this.#borrow(budget, turnTokens, false);
    return budget.account.reserve(turnTokens);
  }

  /**
   * Grants a part of a program's budget without the store, where most members answered and none
   * has seen it: members that are cut off from these are too few to do the same. The store is told
   * once it is back. Should all that know of it die before, it is presumed to have happened.
   */
  #trust(
    budget: ProgramBudget,
    { programId, limitTokens, turnTokens }: BudgetRequest,
    answers: number,
  ): 'reserved' | 'unavailable' {
    const isNew = !this.#begun.has(budget.key) && budget.seen === undefined;
    if (!isNew || !this.#isMemoryWhole) return 'unavailable';
    const members = Math.max(1, this.#parts.memberCount());
    const tokens = trustedTokensOf(limitTokens, turnTokens);
    if (2 * (answers + 1) <= members || tokens < turnTokens) return 'unavailable';
    const trusted = budget;
    trusted.unrecordedTokens = tokens;
    budget.account.receive(tokens);
    this.#parts.logger.info('budget.granted-on-trust', {
      program: programId,
      limitTokens,
      tokens,
      answers,
      members,
    });
    return this.#reserveHeld(budget, turnTokens);
  }

  /** Takes tokens from the store until the turn's are reserved, or it is known that there are none. */
  async #obtain(
    budget: ProgramBudget,
    { programId, turnTokens }: { readonly programId: string; readonly turnTokens: number },
  ): Promise<Obtained> {
    const { account } = budget;
    this.#presume(budget, turnTokens);
    let hasRecalled = false;
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      if (account.reserve(turnTokens)) return 'reserved';
      if (this.#isSpent(budget, turnTokens)) return 'spent';
      const state = budget.seen?.state ?? firstState(budget);
      const plan = account.plan(turnTokens, state);
      if (plan.kind === 'exhausted') {
        if (hasRecalled) return this.#noteSpent(programId, budget, turnTokens);
        hasRecalled = true;
        await this.#parts.recall(budget.key);
        if (!(await this.#ledger.refresh(budget))) return 'unavailable';
      }
      if (plan.kind === 'take') {
        const wasUnseen = budget.seen === undefined;
        const written = await this.#ledger.change(budget, plan.tokens);
        if (written === 'done') account.receive(plan.tokens);
        if (written === 'failed') return 'unavailable';
        // The program has begun at a peer, which mostly holds enough for both.
        if (written === 'conflict' && wasUnseen && (await this.#borrowHeld(budget, turnTokens))) {
          return 'reserved';
        }
      }
    }
    return 'unavailable';
  }

  /**
   * Presumes that a program was trusted elsewhere, where that can't be ruled out: it has begun at a
   * peer, or an earlier process may have forgotten it. The store then counts the most that can have
   * been granted that way, unless it already knows the program.
   */
  #presume(budget: ProgramBudget, turnTokens: number): void {
    const mayBeTrusted = this.#begun.has(budget.key) || !this.#parts.isFirstProcess();
    const isOwn = budget.hasGranted || budget.unrecordedTokens > 0;
    const presumed = budget;
    presumed.presumedTokens =
      mayBeTrusted && !isOwn ? presumedTokensOf(budget.limitTokens, turnTokens) : 0;
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

  #budgetOf(key: string): ProgramBudget {
    const known = this.#budgets.get(key);
    const budget = known ?? createProgramBudget(key);
    budget.usedAtMilliseconds = performance.now();
    this.#budgets.delete(key);
    this.#budgets.set(key, budget);
    if (!known) this.#forgetUnused();
    return budget;
  }

  #forgetUnused(): void {
    const idleSince = performance.now() - ACCOUNT_IDLE_MILLISECONDS;
    for (const [key, { usedAtMilliseconds, account, unrecordedTokens }] of this.#budgets) {
      const isNeeded = account.reservedTokens > 0 || unrecordedTokens > 0;
      const isUnused = !isNeeded && usedAtMilliseconds < idleSince;
      if (!isUnused && this.#budgets.size <= MAXIMUM_ACCOUNTS) return;
      if (!isNeeded) this.#budgets.delete(key);
    }
  }
}

import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import { RecentKeys } from '../util/recentKeys';
import type { BudgetDecision, BudgetGate, BudgetRequest } from './budgetGate';
import { BudgetLedger, createInitialState } from './budgetLedger';
import type { LedgerOutcome } from './budgetLedger';
import type { Loan, LoanResponse, LoanRequest } from './loan';
import type { ProgramBudget } from './programBudget';
import { computePresumedTokens, computeOfflineGrantTokens } from './offlineGrant';
import { toBudgetKey, createProgramBudget, serialise } from './programBudget';

/**
 * Share of the held tokens that a loan transfers, so that a program that has moved needs few loans.
 */
const LENT_SHARE = 0.5;

/**
 * Maximum writes for one turn or release; each conflict means that another instance wrote first.
 */
const MAXIMUM_WRITES = 8;

/** Delay after which callers retry; a short loss of the store may have ended by then. */
const RETRY_AFTER_SECONDS = 0.5;

/**
 * Time for which a spent budget is refused without querying the store again. Runaway programs retry
 * many times a second; turns under way may release tokens in the meantime.
 */
const SPENT_CACHE_MILLISECONDS = 500;

/**
 * Time for which a program that was not in the store is treated as new without another query; its
 * caller retries soon.
 */
const ABSENCE_CACHE_MILLISECONDS = 2_000;

/** Maximum number of budgets kept on this instance; the least recently used are evicted first. */
const MAXIMUM_BUDGETS = 20_000;

/** Budgets without turns for this long are evicted; programs may return after a minute. */
const BUDGET_IDLE_MILLISECONDS = 120_000;

type AcquireOutcome = 'reserved' | 'spent' | 'unavailable';

/** Parts of {@link EscrowBudgets}. */
export interface EscrowBudgetsParts {
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Borrows tokens from the other instances if the store is unreachable or a peer may hold some. */
  readonly borrow: (request: LoanRequest) => Promise<Loan>;
  /** Notifies the other instances that a program has started here. */
  readonly announce: (budgetKey: string) => void;
  /** Makes the other instances return to the store what they hold of a budget. */
  readonly recall: (budgetKey: string) => Promise<void>;
  /** Whether no earlier process of this instance can have granted tokens to running programs. */
  readonly isFirstProcess: () => boolean;
  /** Number of instances that may grant tokens, including this one and absent ones. */
  readonly memberCount: () => number;
}

/** Token budgets of programs in escrow, with one store key per program. */
export class EscrowBudgets implements BudgetGate {
  readonly #parts: EscrowBudgetsParts;

  readonly #ledger: BudgetLedger;

  /** Budgets by key, least recently used first. */
  readonly #budgets = new Map<string, ProgramBudget>();

  /** Budget keys of programs that have started, here or on another instance. */
  readonly #startedPrograms = new RecentKeys(MAXIMUM_BUDGETS);

  #hasLoadedStartedPrograms = false;

  #isUnavailable = false;

  constructor(parts: EscrowBudgetsParts) {
    this.#parts = parts;
    this.#ledger = new BudgetLedger(parts);
  }

  /** Whether the last turn that needed tokens could obtain none from the store or a peer. */
  get isUnavailable(): boolean {
    return this.#isUnavailable;
  }

  async reserve(request: BudgetRequest): Promise<BudgetDecision> {
    const budget = this.#getOrCreateBudget(toBudgetKey(request.programId));
    budget.limitTokens = request.limitTokens;
    if (!budget.account.reserve(request.turnTokens)) {
      budget.waitingTurns += 1;
      const obtained = await serialise(budget, () => this.#acquire(budget, request));
      budget.waitingTurns -= 1;
      this.#isUnavailable = obtained === 'unavailable';
      if (obtained !== 'reserved') return this.#toRefusal(obtained);
    }
    this.#recordProgramGrant(budget);
    return {
      kind: 'reserved',
      settle: (usedTokens) => budget.account.settle(request.turnTokens, usedTokens),
    };
  }

  async hasProgramStarted(programId: string): Promise<boolean> {
    const key = toBudgetKey(programId);
    if (this.#startedPrograms.has(key)) return true;
    const budget = this.#getOrCreateBudget(key);
    if (budget.stored) return true;
    if (performance.now() < budget.absentUntilMilliseconds) return false;
    if (!this.#ledger.isReachable()) return false;
    await serialise(budget, () => this.#ledger.refresh(budget));
    budget.absentUntilMilliseconds = performance.now() + ABSENCE_CACHE_MILLISECONDS;
    return budget.stored !== undefined;
  }

  /** Whether a program is known here to have started, without asking others. */
  isProgramKnown(programId: string): boolean {
    return this.#isKnown(toBudgetKey(programId));
  }

  /** Records that a program has started on another instance. */
  recordProgramStart(key: string): void {
    this.#startedPrograms.add(key);
  }

  /**
   * Reads from the store which programs have started, as an earlier process of this instance may
   * have granted tokens; returns whether the store responded.
   */
  async loadStartedPrograms(): Promise<boolean> {
    const startedAtMilliseconds = performance.now();
    const keys = await this.#ledger.listKeys();
    if (!keys) return false;
    keys.forEach((key) => this.#startedPrograms.add(key));
    this.#hasLoadedStartedPrograms = true;
    this.#parts.logger.info('budget.begun-learned', {
      programs: keys.length,
      milliseconds: Math.round(performance.now() - startedAtMilliseconds),
    });
    return true;
  }

  /** Returns to the store the tokens of a budget that this instance holds. */
  async release(key: string): Promise<void> {
    const budget = this.#budgets.get(key);
    if (!budget || budget.account.heldTokens === 0) return;
    await serialise(budget, () => this.#returnHeldTokens(budget));
  }

  /**
   * Lends tokens to another instance: from those held here or, if the request allows it, from the
   * store.
   */
  async lend(request: LoanRequest): Promise<LoanResponse> {
    const { budget: key, limitTokens, turnTokens, mayUseStore } = request;
    const isHeld = (this.#budgets.get(key)?.account.heldTokens ?? 0) >= turnTokens;
    const canUseStore = this.#ledger.isReachable();
    if (!isHeld && !(mayUseStore && canUseStore)) return this.#declineLoan(key);
    const budget = this.#getOrCreateBudget(key);
    budget.limitTokens = limitTokens;
    return serialise(budget, async (): Promise<LoanResponse> => {
      const { account } = budget;
      const tokens = Math.max(turnTokens, Math.floor(account.heldTokens * LENT_SHARE));
      const obtained =
        mayUseStore && canUseStore
          ? await this.#takeFromStore(budget, { programId: key, turnTokens: tokens })
          : this.#reserveHeld(budget, tokens);
      if (obtained === 'spent') return { kind: 'spent' };
      if (obtained === 'unavailable') return this.#declineLoan(key);
      account.settle(tokens, tokens);
      budget.isShared = true;
      return { kind: 'lent', tokens };
    });
  }

  /** Records in the store the tokens granted while it was unreachable. */
  async recordGrants(): Promise<void> {
    const unrecorded = [...this.#budgets.values()].filter(
      ({ unrecordedTokens }) => unrecordedTokens > 0,
    );
    for (const budget of unrecorded) {
      const written = await serialise(budget, () => this.#recordBudgetGrants(budget));
      if (written === 'failed') return;
    }
  }

  async #recordBudgetGrants(budget: ProgramBudget): Promise<LedgerOutcome> {
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      if (budget.unrecordedTokens === 0) return 'done';
      const written = await this.#ledger.change(budget, 0);
      if (written !== 'conflict') return written;
    }
    return 'conflict';
  }

  /** Returns the held tokens to the store; other instances may do so concurrently. */
  async #returnHeldTokens(budget: ProgramBudget): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      const tokens = budget.account.withdraw();
      if (tokens === 0) return;
      // If the outcome is unknown, the program loses the tokens; they are never spent twice.
      if ((await this.#ledger.change(budget, -tokens)) !== 'conflict') return;
      budget.account.deposit(tokens);
    }
  }

  #recordProgramGrant(budget: ProgramBudget): void {
    if (budget.hasGranted) return;
    const mutableBudget = budget;
    mutableBudget.hasGranted = true;
    const isNewProgram = !this.#startedPrograms.has(budget.key);
    this.#startedPrograms.add(budget.key);
    if (isNewProgram) this.#parts.announce(budget.key);
  }

  #toRefusal(reason: 'spent' | 'unavailable'): BudgetDecision {
    return reason === 'spent'
      ? { kind: 'spent' }
      : { kind: 'unavailable', retryAfterSeconds: RETRY_AFTER_SECONDS };
  }

  #declineLoan(key: string): LoanResponse {
    return {
      kind: 'none',
      isKnown: this.#isKnown(key),
      isMemoryWhole: this.#knowsAllStartedPrograms,
      canUseStore: this.#ledger.isReachable(),
    };
  }

  /**
   * Whether the program is registered here. This includes a program whose first turn is waiting, so
   * that two instances never give it an offline grant at the same time.
   */
  #isKnown(key: string): boolean {
    const budget = this.#budgets.get(key);
    if (this.#startedPrograms.has(key)) return true;
    return budget !== undefined && (budget.waitingTurns > 0 || budget.stored !== undefined);
  }

  /**
   * Whether this process has a record of every program to which this instance, in this or an earlier
   * process, has granted tokens.
   */
  get #knowsAllStartedPrograms(): boolean {
    return this.#hasLoadedStartedPrograms || this.#parts.isFirstProcess();
  }

  #reserveHeld({ account }: ProgramBudget, tokens: number): 'reserved' | 'unavailable' {
    return account.reserve(tokens) ? 'reserved' : 'unavailable';
  }

  /**
   * Acquires tokens from the store or a peer or, for a program that is new to all instances, by an
   * offline grant.
   */
  async #acquire(budget: ProgramBudget, request: BudgetRequest): Promise<AcquireOutcome> {
    const { account } = budget;
    if (account.reserve(request.turnTokens)) return 'reserved';
    const hasMoved =
      !budget.hasGranted && (request.isContinuation || this.#startedPrograms.has(budget.key));
    if (hasMoved || budget.isShared) {
      if (await this.#borrowHeld(budget, request.turnTokens)) return 'reserved';
    }
    if (this.#ledger.isReachable()) {
      const obtained = await this.#takeFromStore(budget, request);
      if (obtained !== 'unavailable') return obtained;
    }
    const loan = await this.#borrow(budget, request.turnTokens, true);
    switch (loan.kind) {
      case 'lent':
        return this.#reserveHeld(budget, request.turnTokens);
      case 'spent':
        return 'spent';
      case 'none':
        return loan.mayHaveStarted
          ? 'unavailable'
          : this.#grantOffline(budget, request, loan.responseCount);
    }
  }

  async #borrow(budget: ProgramBudget, turnTokens: number, mayUseStore: boolean): Promise<Loan> {
    const { key, limitTokens, account } = budget;
    const loan = await this.#parts.borrow({ budget: key, limitTokens, turnTokens, mayUseStore });
    if (loan.kind === 'lent') {
      account.deposit(loan.tokens);
      const mutableBudget = budget;
      mutableBudget.isShared = true;
    }
    return loan;
  }

  /**
   * Borrows the tokens that a peer holds of a program that has moved here, which needs no store call.
   */
  async #borrowHeld(budget: ProgramBudget, turnTokens: number): Promise<boolean> {
    await this.#borrow(budget, turnTokens, false);
    return budget.account.reserve(turnTokens);
  }

  /**
   * Grants a part of a program's budget without the store if a majority of the members responded and
   * none has seen the program: members that can't reach this majority are too few to grant as well.
   * The grant is recorded once the store is reachable again. If every instance with a record of it
   * stops before that, the grant is presumed to have been made.
   */
  #grantOffline(
    budget: ProgramBudget,
    { programId, limitTokens, turnTokens }: BudgetRequest,
    responseCount: number,
  ): 'reserved' | 'unavailable' {
    const isNew = !this.#startedPrograms.has(budget.key) && budget.stored === undefined;
    if (!isNew || !this.#knowsAllStartedPrograms) return 'unavailable';
    const members = Math.max(1, this.#parts.memberCount());
    const tokens = computeOfflineGrantTokens(limitTokens, turnTokens);
    if (2 * (responseCount + 1) <= members || tokens < turnTokens) return 'unavailable';
    const mutableBudget = budget;
    mutableBudget.unrecordedTokens = tokens;
    budget.account.deposit(tokens);
    this.#parts.logger.info('budget.granted-on-trust', {
      program: programId,
      limitTokens,
      tokens,
      answers: responseCount,
      members,
    });
    return this.#reserveHeld(budget, turnTokens);
  }

  /** Takes tokens from the store until the turn's tokens are reserved or the budget is spent. */
  async #takeFromStore(
    budget: ProgramBudget,
    { programId, turnTokens }: { readonly programId: string; readonly turnTokens: number },
  ): Promise<AcquireOutcome> {
    const { account } = budget;
    this.#presumeOfflineGrant(budget, turnTokens);
    let hasRecalled = false;
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      if (account.reserve(turnTokens)) return 'reserved';
      if (this.#isSpent(budget, turnTokens)) return 'spent';
      const state = budget.stored?.state ?? createInitialState(budget);
      const plan = account.planGrant(turnTokens, state);
      if (plan.kind === 'exhausted') {
        if (hasRecalled) return this.#recordSpent(programId, budget, turnTokens);
        hasRecalled = true;
        await this.#parts.recall(budget.key);
        if (!(await this.#ledger.refresh(budget))) return 'unavailable';
      }
      if (plan.kind === 'take') {
        const wasAbsent = budget.stored === undefined;
        const written = await this.#ledger.change(budget, plan.tokens);
        if (written === 'done') account.deposit(plan.tokens);
        if (written === 'failed') return 'unavailable';
        // The program has started on a peer, which usually holds enough tokens for both instances.
        if (written === 'conflict' && wasAbsent && (await this.#borrowHeld(budget, turnTokens))) {
          return 'reserved';
        }
      }
    }
    return 'unavailable';
  }

  /**
   * Presumes an offline grant by another process where that can't be ruled out: the program has
   * started on a peer, or an earlier process of this instance may have granted it. The maximum of
   * such a grant is then counted in the store, unless the store already has the program.
   */
  #presumeOfflineGrant(budget: ProgramBudget, turnTokens: number): void {
    const mayHaveOfflineGrant =
      this.#startedPrograms.has(budget.key) || !this.#parts.isFirstProcess();
    const hasGrantedHere = budget.hasGranted || budget.unrecordedTokens > 0;
    const mutableBudget = budget;
    mutableBudget.presumedTokens =
      mayHaveOfflineGrant && !hasGrantedHere
        ? computePresumedTokens(budget.limitTokens, turnTokens)
        : 0;
  }

  #isSpent({ spent }: ProgramBudget, turnTokens: number): boolean {
    return (
      spent !== undefined &&
      turnTokens >= spent.turnTokens &&
      performance.now() < spent.untilMilliseconds
    );
  }

  #recordSpent(programId: string, budget: ProgramBudget, turnTokens: number): 'spent' {
    const mutableBudget = budget;
    mutableBudget.spent = {
      turnTokens,
      untilMilliseconds: performance.now() + SPENT_CACHE_MILLISECONDS,
    };
    this.#parts.logger.info('budget.spent', {
      program: programId,
      limitTokens: budget.stored?.state.limitTokens,
      grantedTokens: budget.stored?.state.grantedTokens,
      heldTokens: budget.account.heldTokens,
      reservedTokens: budget.account.reservedTokens,
      turnTokens,
      revision: budget.stored?.revision,
    });
    return 'spent';
  }

  #getOrCreateBudget(key: string): ProgramBudget {
    const existing = this.#budgets.get(key);
    const budget = existing ?? createProgramBudget(key);
    budget.lastUsedAtMilliseconds = performance.now();
    this.#budgets.delete(key);
    this.#budgets.set(key, budget);
    if (!existing) this.#evictUnused();
    return budget;
  }

  #evictUnused(): void {
    const idleSince = performance.now() - BUDGET_IDLE_MILLISECONDS;
    for (const [key, { lastUsedAtMilliseconds, account, unrecordedTokens }] of this.#budgets) {
      const isNeeded = account.reservedTokens > 0 || unrecordedTokens > 0;
      const isUnused = !isNeeded && lastUsedAtMilliseconds < idleSince;
      if (!isUnused && this.#budgets.size <= MAXIMUM_BUDGETS) return;
      if (!isNeeded) this.#budgets.delete(key);
    }
  }
}

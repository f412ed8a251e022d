import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import type { BudgetDecision, BudgetGate, BudgetRequest } from './budgetGate';
import { BudgetLedger, createInitialState } from './budgetLedger';
import type { LedgerOutcome } from './budgetLedger';
import type { GrantMemory } from './grantMemory';
import type { BudgetRelease, GrantPeers, PeerPromises } from './grantPeers';
import type { Loan, LoanResponse, LoanRequest } from './loan';
import { areMajority } from './majorities';
import type { MemberListsInForce } from './majorities';
import type { MemberListHistory } from './memberListHistory';
import type { ProgramBudget } from './programBudget';
import { computePresumedTokens, computeOfflineGrantTokens } from './offlineGrant';
import { toBudgetKey, createProgramBudget, serialise } from './programBudget';
import { UnseenGrants } from './unseenGrants';

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
 * Time for which a spent budget is refused without querying the store again, doubled up to a maximum
 * each time it is found spent again. Turns under way may release tokens in the meantime; programs
 * that go on after that run away.
 */
const SPENT_CACHE_MILLISECONDS = 500;
const MAXIMUM_SPENT_CACHE_MILLISECONDS = 8_000;

/** Instances asked for tokens of a budget that they share. */
const MAXIMUM_LENDERS = 4;

/**
 * Time for which a program that was not in the store is treated as new without another query; its
 * caller retries soon.
 */
const ABSENCE_CACHE_MILLISECONDS = 2_000;

/**
 * Time until a process that was suspended no longer counts promises: those who made them may have
 * restarted, and have a complete memory three seconds later.
 */
const PROMISE_LIFETIME_MILLISECONDS = 2_000;

/** Maximum number of budgets kept on this instance; the least recently used are evicted first. */
const MAXIMUM_BUDGETS = 20_000;

/** Budgets without turns for this long are evicted; programs may return after a minute. */
const BUDGET_IDLE_MILLISECONDS = 120_000;

/** Records the instance of a process, whose name precedes its last slash. */
const recordBorrower = (budget: ProgramBudget, requester: string): void => {
  const end = requester.lastIndexOf('/');
  const mutableBudget = budget;
  if (end > 0) budget.sharers.add(requester.slice(0, end));
  else mutableBudget.hasUnknownSharers = true;
};

/** Whether another instance holds tokens of a budget or held some. */
const isShared = ({ sharers, hasUnknownSharers }: ProgramBudget): boolean =>
  sharers.size > 0 || hasUnknownSharers;

type AcquireOutcome = 'reserved' | 'spent' | 'unavailable';

/** Tokens to take from the store. */
interface StoreRequest {
  readonly programId: string;
  readonly turnTokens: number;
  /** Process that the tokens are for and that has not granted any; this one if undefined. */
  readonly requester?: string | undefined;
  /** Whether another instance waits for the tokens, which it does for less time than a caller. */
  readonly isForPeer?: boolean;
}

/** Parts of {@link EscrowBudgets}. */
export interface EscrowBudgetsParts {
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Name of this instance, as in the lists of members. */
  readonly instance: string;
  readonly memory: GrantMemory;
  readonly peers: GrantPeers;
  readonly memberLists: MemberListHistory;
  /** Time after which no program still runs that has had no turn since, in milliseconds. */
  readonly programRetention: () => number;
  /** Until when this process last stood still, by `performance.now()`. */
  readonly stoodStillUntil: () => number;
}

/** Token budgets of programs in escrow, with one store key per program. */
export class EscrowBudgets implements BudgetGate {
  readonly #parts: EscrowBudgetsParts;

  readonly #ledger: BudgetLedger;

  /** Budgets by key, least recently used first. */
  readonly #budgets = new Map<string, ProgramBudget>();

  readonly #startedAtMilliseconds = performance.now();

  readonly #unseenGrants: UnseenGrants;

  #hasListedStore = false;

  #isUnavailable = false;

  constructor(parts: EscrowBudgetsParts) {
    this.#parts = parts;
    this.#unseenGrants = new UnseenGrants(parts);
    this.#ledger = new BudgetLedger({ ...parts, onLoss: () => this.recordStoreLoss() });
  }

  /** What this process knows about grants to programs. */
  get memory(): GrantMemory {
    return this.#parts.memory;
  }

  /** What this process tells others that must know of grants without the store. */
  get promises(): Omit<PeerPromises, 'name'> {
    // A grant is recorded once the store is back, or lost with its process.
    const lastGrantMilliseconds = Math.min(
      performance.now(),
      this.#unseenGrants.storeLostUntilMilliseconds,
    );
    return {
      promises: this.memory.listPromises(lastGrantMilliseconds - this.#parts.programRetention()),
      isComplete: this.memory.isComplete,
      canUseStore: this.#ledger.isReachable(),
      memberLists: this.#unseenGrants.memberLists,
    };
  }

  /** Records that the store may have been unreachable until now. */
  recordStoreLoss(): void {
    this.#unseenGrants.recordStoreLoss();
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

  isKnownSpent(programId: string, turnTokens: number): boolean {
    const budget = this.#budgets.get(toBudgetKey(programId));
    if (!budget) return false;
    return budget.account.heldTokens < turnTokens && this.#isSpent(budget, turnTokens);
  }

  async hasProgramStarted(programId: string): Promise<boolean> {
    const key = toBudgetKey(programId);
    if (this.memory.mayHaveStarted(key)) return true;
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
    this.memory.recordStart(key);
  }

  /**
   * Restores what earlier processes of this instance knew; returns whether the memory is complete.
   * The store lists programs whose grants were recorded, and the other instances those that may have
   * grants which were not. If too few of them know, the memory is complete only once no program of an
   * earlier process still runs, as the store can't tell of grants that were lost with their process.
   */
  async restoreMemory(): Promise<boolean> {
    if (this.memory.isComplete) return true;
    const uptimeMilliseconds = performance.now() - this.#startedAtMilliseconds;
    const hasExpired = uptimeMilliseconds > this.#parts.programRetention();
    const isListDue = !this.#hasListedStore || hasExpired;
    if (isListDue) {
      this.#hasListedStore = await this.#learnStartedPrograms();
      if (!this.#hasListedStore) return false;
    }
    const hasPromises =
      (await this.#unseenGrants.learnAll(isListDue)) && this.#listsInForce.length > 0;
    if (!hasPromises && !hasExpired) return false;
    this.memory.markComplete();
    this.#parts.logger.info('budget.memory-complete', {
      source: hasPromises ? 'peers' : 'retention',
    });
    return true;
  }

  /** Returns to the store the tokens of a budget that this instance holds. */
  async release(key: string): Promise<Omit<BudgetRelease, 'name'>> {
    const budget = this.#budgets.get(key);
    if (!budget) return { sharers: [], hasAllSharers: true };
    if (budget.account.heldTokens > 0) {
      await serialise(budget, () => this.#returnHeldTokens(budget));
    }
    return { sharers: [...budget.sharers], hasAllSharers: !budget.hasUnknownSharers };
  }

  /**
   * Lends tokens to another instance: from those held here or, if the request allows it, from the
   * store.
   */
  async lend(request: LoanRequest): Promise<LoanResponse> {
    const { budget: key, limitTokens, turnTokens, mayUseStore, wantsPromise } = request;
    // A requester that still wants a promise has made no grant itself.
    const requester = wantsPromise ? request.requester : undefined;
    const isHeld = (this.#budgets.get(key)?.account.heldTokens ?? 0) >= turnTokens;
    const canUseStore = this.#ledger.isReachable();
    if (!isHeld && !(mayUseStore && canUseStore)) return this.#declineLoan(request);
    const budget = this.#getOrCreateBudget(key);
    budget.limitTokens = limitTokens;
    return serialise(budget, async (): Promise<LoanResponse> => {
      const { account } = budget;
      const tokens = Math.max(turnTokens, Math.floor(account.heldTokens * LENT_SHARE));
      const obtained =
        mayUseStore && canUseStore
          ? await this.#takeFromStore(budget, {
              programId: key,
              turnTokens: tokens,
              requester,
              isForPeer: true,
            })
          : this.#reserveHeld(budget, tokens);
      if (obtained === 'spent') return { kind: 'spent' };
      if (obtained === 'unavailable') return this.#declineLoan(request);
      account.settle(tokens, tokens);
      recordBorrower(budget, request.requester);
      return { kind: 'lent', tokens };
    });
  }

  /** Called when the store responds again. */
  async recordStoreRegained(): Promise<void> {
    this.recordStoreLoss();
    await this.#ledger.probe();
    await this.recordGrants();
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
    this.memory.recordStart(budget.key);
    if (budget.isFirstGrantOwn) this.#parts.peers.announceProgram(budget.key);
  }

  #toRefusal(reason: 'spent' | 'unavailable'): BudgetDecision {
    return reason === 'spent'
      ? { kind: 'spent' }
      : { kind: 'unavailable', retryAfterSeconds: RETRY_AFTER_SECONDS };
  }

  #declineLoan({ budget: key, requester, wantsPromise }: LoanRequest): LoanResponse {
    const isKnown = this.#isKnown(key, requester);
    const isPromised = wantsPromise && !isKnown && this.memory.promise(key, requester);
    // An instance without promises may grant tokens on this answer.
    if (requester === '') this.memory.recordStart(key);
    return {
      kind: 'none',
      isKnown,
      isMemoryWhole: this.memory.isComplete,
      canUseStore: this.#ledger.isReachable(),
      isPromised,
    };
  }

  /**
   * Whether the program may have started, other than by a grant to a certain process. This includes a
   * program whose first turn is waiting, so that two instances never give it an offline grant at the
   * same time.
   */
  #isKnown(key: string, requester?: string): boolean {
    const budget = this.#budgets.get(key);
    if (this.memory.mayHaveStarted(key, requester)) return true;
    return budget !== undefined && (budget.waitingTurns > 0 || budget.stored !== undefined);
  }

  /** All lists of members on which a grant that still matters may rest. */
  get #listsInForce(): MemberListsInForce {
    return this.#parts.memberLists.within(this.#parts.programRetention());
  }

  async #learnStartedPrograms(): Promise<boolean> {
    const startedAtMilliseconds = performance.now();
    const keys = await this.#ledger.listKeys();
    if (!keys) return false;
    keys.forEach((key) => this.memory.recordStart(key));
    this.#parts.logger.info('budget.begun-learned', {
      programs: keys.length,
      milliseconds: Math.round(performance.now() - startedAtMilliseconds),
    });
    return true;
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
    if (this.#isSpent(budget, request.turnTokens)) return 'spent';
    const hasMoved =
      !budget.hasGranted && (request.isContinuation || this.memory.mayHaveStarted(budget.key));
    if (hasMoved || isShared(budget)) {
      if (await this.#borrowHeld(budget, request.turnTokens)) return 'reserved';
    }
    if (this.#ledger.isReachable()) {
      const obtained = await this.#takeFromStore(budget, request);
      if (obtained !== 'unavailable') return obtained;
    }
    const askedAtMilliseconds = performance.now();
    const loan = await this.#borrow(budget, request.turnTokens, true);
    const isStale =
      this.#parts.stoodStillUntil() > askedAtMilliseconds &&
      performance.now() - askedAtMilliseconds > PROMISE_LIFETIME_MILLISECONDS;
    switch (loan.kind) {
      case 'lent':
        return this.#reserveHeld(budget, request.turnTokens);
      case 'spent':
        return 'spent';
      case 'none':
        return this.#grantOffline(budget, request, isStale ? [] : loan.promisers);
    }
  }

  async #borrow(budget: ProgramBudget, turnTokens: number, mayUseStore: boolean): Promise<Loan> {
    const { key, limitTokens, account } = budget;
    const { peers, memory } = this.#parts;
    const request = {
      budget: key,
      limitTokens,
      turnTokens,
      mayUseStore,
      requester: memory.process,
      wantsPromise: mayUseStore && this.#mayGrantOffline(budget),
    };
    const loan = await (mayUseStore
      ? peers.borrowBudget(request)
      : peers.borrowBudget(request, this.#findLenders(budget)));
    if (loan.kind === 'none' && loan.isKnown) memory.recordStart(key);
    if (loan.kind === 'lent') {
      account.deposit(loan.tokens);
      loan.lenders.forEach((name) => budget.sharers.add(name));
    }
    return loan;
  }

  /** Other instances that may hold tokens of a budget; undefined if they aren't known. */
  #findLenders(budget: ProgramBudget): readonly string[] | undefined {
    if (!budget.stored?.state.holders && budget.sharers.size === 0) return undefined;
    return this.#listSharers(budget).slice(0, MAXIMUM_LENDERS);
  }

  /** Other instances that took tokens of a budget from the store or share some with this one. */
  #listSharers({ stored, sharers }: ProgramBudget): readonly string[] {
    const names = new Set([...sharers, ...(stored?.state.holders ?? [])]);
    names.delete(this.#parts.instance);
    return [...names];
  }

  /** Makes the instances that share a budget return their tokens, all if not all sharers are known. */
  async #recall(budget: ProgramBudget): Promise<void> {
    const { peers, instance } = this.#parts;
    const { key, stored, hasUnknownSharers } = budget;
    const asked = new Set([instance]);
    let names = this.#listSharers(budget);
    let areAllKnown = stored?.state.holders !== undefined && !hasUnknownSharers;
    while (areAllKnown && names.length > 0) {
      names.forEach((name) => asked.add(name));
      const replies = await peers.releaseBudget(key, names);
      areAllKnown = replies.every(({ hasAllSharers }) => hasAllSharers);
      names = [...new Set(replies.flatMap((reply) => reply.sharers))].filter(
        (name) => !asked.has(name),
      );
    }
    if (!areAllKnown) await peers.releaseBudget(key);
  }

  /**
   * Borrows the tokens that a peer holds of a program that has moved here, which needs no store call.
   */
  async #borrowHeld(budget: ProgramBudget, turnTokens: number): Promise<boolean> {
    // One read tells who holds tokens.
    if (!budget.stored && this.#ledger.isReachable()) await this.#ledger.refresh(budget);
    await this.#borrow(budget, turnTokens, false);
    return budget.account.reserve(turnTokens);
  }

  /** Whether nothing known here excludes that a program is new. */
  #mayGrantOffline({ key, stored }: ProgramBudget): boolean {
    return this.memory.isComplete && !this.memory.mayHaveStarted(key) && stored === undefined;
  }

  /**
   * Grants a part of a program's budget without the store if a majority of the members promised not
   * to. Two majorities share a member, and a member promises only once, so that a program gets one
   * such grant. It is recorded once the store is reachable again. If every instance with a record of
   * it stops before that, the grant is presumed to have been made.
   */
  #grantOffline(
    budget: ProgramBudget,
    { programId, limitTokens, turnTokens }: BudgetRequest,
    promisers: readonly string[],
  ): 'reserved' | 'unavailable' {
    const { instance, memory, logger } = this.#parts;
    const tokens = computeOfflineGrantTokens(limitTokens, turnTokens);
    const isPossible = this.#mayGrantOffline(budget) && tokens >= turnTokens;
    if (!isPossible || !areMajority(this.#listsInForce, new Set([instance, ...promisers]))) {
      return 'unavailable';
    }
    if (!memory.promise(budget.key)) return 'unavailable';
    const mutableBudget = budget;
    mutableBudget.unrecordedTokens = tokens;
    mutableBudget.isFirstGrantOwn = true;
    budget.account.deposit(tokens);
    logger.info('budget.granted-on-trust', {
      program: programId,
      limitTokens,
      tokens,
      promises: promisers.length,
    });
    return this.#reserveHeld(budget, turnTokens);
  }

  /** Takes tokens from the store until the turn's tokens are reserved or the budget is spent. */
  async #takeFromStore(
    budget: ProgramBudget,
    { programId, turnTokens, requester, isForPeer = false }: StoreRequest,
  ): Promise<AcquireOutcome> {
    const { account } = budget;
    const isPresumed = await this.#mustPresumeOfflineGrant(budget, requester, isForPeer);
    if (isPresumed === undefined) return 'unavailable';
    const mutableBudget = budget;
    mutableBudget.presumedTokens = isPresumed
      ? computePresumedTokens(budget.limitTokens, turnTokens)
      : 0;
    let hasRecalled = false;
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      if (account.reserve(turnTokens)) return 'reserved';
      if (this.#isSpent(budget, turnTokens)) return 'spent';
      const state = budget.stored?.state ?? createInitialState(budget);
      const plan = account.planGrant(turnTokens, state);
      if (plan.kind === 'exhausted') {
        if (hasRecalled) return this.#recordSpent(programId, budget, turnTokens);
        hasRecalled = true;
        await this.#recall(budget);
        if (!(await this.#ledger.refresh(budget))) return 'unavailable';
      }
      if (plan.kind === 'take') {
        const wasAbsent = budget.stored === undefined;
        const written = await this.#ledger.change(budget, plan.tokens);
        if (written === 'done') {
          account.deposit(plan.tokens);
          mutableBudget.isFirstGrantOwn ||= wasAbsent;
        }
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
   * Whether the maximum of an offline grant by another process is counted in the store, unless the
   * store already has the program: the program may have started, or this process may not know of it.
   * Tokens borrowed from a peer don't rule it out. Undefined if the store doesn't respond.
   */
  async #mustPresumeOfflineGrant(
    budget: ProgramBudget,
    requester: string | undefined,
    isForPeer: boolean,
  ): Promise<boolean | undefined> {
    const isOwnGrant = budget.unrecordedTokens > 0;
    if (isOwnGrant || budget.stored) return false;
    const isPossible = (): boolean =>
      this.memory.mayHaveStarted(budget.key, requester) || !this.memory.isComplete;
    if (isPossible()) return true;
    if (!this.#unseenGrants.mayExist) return false;
    if (isForPeer) return true;
    // The store must respond before the others are asked: they promise nothing once they reach it.
    if (!(await this.#ledger.refresh(budget))) return undefined;
    if (budget.stored) return false;
    await this.#unseenGrants.learn();
    return isPossible() || this.#unseenGrants.mayExist;
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
    const cacheMilliseconds = budget.spent
      ? Math.min(MAXIMUM_SPENT_CACHE_MILLISECONDS, 2 * budget.spent.cacheMilliseconds)
      : SPENT_CACHE_MILLISECONDS;
    mutableBudget.spent = {
      turnTokens,
      untilMilliseconds: performance.now() + cacheMilliseconds,
      cacheMilliseconds,
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

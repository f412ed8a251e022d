import { createHash, randomUUID } from 'node:crypto';
import type { Logger, Metrics } from '@limpetnotch/observability';
import { EscrowAccount } from '@limpetnotch/programs';
import type { KeyValueStore, StoreEntry } from '@limpetnotch/store';
import { compareAndSwapUntilKnown } from '@limpetnotch/store';
import { z } from 'zod';
import type { BudgetDecision, BudgetGate, BudgetRequest } from './budgetGate';
import type { Loan, LoanAnswer, LoanRequest } from './loan';

const PREFIX = 'budgets/';

/** A turn waits at most this long for the store, which answers in milliseconds when in good order. */
const GRANT_TIMEOUT_MILLISECONDS = 450;

/** After a failed call one turn in this time tries the store again; the others ask peers. */
const PROBE_MILLISECONDS = 300;

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
  /** Tokens granted while the store was out of reach, which it doesn't know of yet. */
  unrecordedTokens: number;
  /** Until then the store is not asked again whether it knows the program. */
  absentUntilMilliseconds: number;
  /** Whether a turn was ever granted tokens here. */
  hasGranted: boolean;
  /** Turns that wait for tokens. */
  acquiring: number;
  unrecordedLimit: number;
  /** Until then the budget is taken for spent by turns of this size or larger. */
  spent: { readonly untilMilliseconds: number; readonly turnTokens: number } | undefined;
}

/** Parts of {@link EscrowBudgets}. */
export interface EscrowBudgetsParts {
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Asks the other instances for tokens that this one can't get from the store. */
  readonly borrow: (request: LoanRequest) => Promise<Loan>;
  /** Whether this instance remembers every program that it ever granted tokens to. */
  readonly isMemoryWhole: () => boolean;
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

  /** When the store may be tried again; undefined while it answers. */
  #nextProbeMilliseconds: number | undefined;

  #isCutOff = false;

  constructor(parts: EscrowBudgetsParts) {
    this.#parts = parts;
  }

  /** Whether the last turn that needed tokens got them neither from the store nor from a peer. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  async reserve(request: BudgetRequest): Promise<BudgetDecision> {
    const key = keyOf(request.programId);
    const budget = this.#budgetOf(key);
    if (!budget.account.reserve(request.turnTokens)) {
      budget.acquiring += 1;
      const obtained = await this.#serialised(budget, () => this.#acquire(key, budget, request));
      budget.acquiring -= 1;
      this.#isCutOff = obtained === 'unavailable';
      if (obtained !== 'reserved') return this.#refusalOf(obtained);
    }
    budget.hasGranted = true;
    return {
      kind: 'reserved',
      settle: (usedTokens) => budget.account.settle(request.turnTokens, usedTokens),
    };
  }

  async hasBegun(programId: string): Promise<boolean> {
    const key = keyOf(programId);
    const budget = this.#budgetOf(key);
    if (budget.seen || budget.hasGranted) return true;
    if (performance.now() < budget.absentUntilMilliseconds || this.#isStoreSuspect) return false;
    await this.#serialised(budget, () => this.#refresh(key, budget));
    budget.absentUntilMilliseconds = performance.now() + ABSENT_MILLISECONDS;
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

  /** Lends tokens to another instance: of what is held here, or, if it may, from the store. */
  async lend(request: LoanRequest): Promise<LoanAnswer> {
    const { budget: key, limitTokens, turnTokens, mayUseStore } = request;
    const isKnown = this.#isKnown(this.#budgets.get(key));
    const canUseStore = mayUseStore && !this.#isStoreSuspect;
    if (!isKnown && !canUseStore) {
      return { kind: 'none', isKnown, isMemoryWhole: this.#parts.isMemoryWhole() };
    }
    const budget = this.#budgetOf(key);
    return this.#serialised(budget, async (): Promise<LoanAnswer> => {
      const { account } = budget;
      const tokens = Math.max(turnTokens, Math.floor(account.heldTokens * PART_LENT));
      const turn = { programId: key, limitTokens, turnTokens: tokens, isContinuation: true };
      const obtained = canUseStore
        ? await this.#obtain(key, budget, turn)
        : this.#reserveHeld(account, tokens);
      if (obtained === 'spent') return { kind: 'spent' };
      if (obtained !== 'reserved') {
        return { kind: 'none', isKnown, isMemoryWhole: this.#parts.isMemoryWhole() };
      }
      account.settle(tokens, tokens);
      return { kind: 'lent', tokens };
    });
  }

  /** Writes to the store what was granted while it was out of reach. */
  async recordGrants(): Promise<void> {
    const unrecorded = [...this.#budgets].filter(
      ([, { unrecordedTokens }]) => unrecordedTokens > 0,
    );
    for (const [key, budget] of unrecorded) {
      const written = await this.#serialised(budget, () => this.#record(key, budget));
      if (written === 'failed') return;
    }
  }

  async #record(key: string, budget: ProgramBudget): Promise<'done' | 'conflict' | 'failed'> {
    for (let attempt = 0; attempt < MAXIMUM_WRITES; attempt += 1) {
      if (budget.unrecordedTokens === 0) return 'done';
      const written = await this.#change(key, budget, 0, budget.unrecordedLimit);
      if (written !== 'conflict') return written;
    }
    return 'conflict';
  }

  get #isStoreSuspect(): boolean {
    return this.#nextProbeMilliseconds !== undefined;
  }

  /** Whether a turn may try the store: always while it answers, else once in a while. */
  #mayTryStore(): boolean {
    if (this.#nextProbeMilliseconds === undefined) return true;
    if (performance.now() < this.#nextProbeMilliseconds) return false;
    this.#suspectStore();
    return true;
  }

  #suspectStore(): void {
    this.#nextProbeMilliseconds = performance.now() + PROBE_MILLISECONDS;
  }

  /** A program whose first turn waits here counts as known, so that two never trust it at once. */
  #isKnown(budget: ProgramBudget | undefined): boolean {
    if (!budget) return false;
    return budget.hasGranted || budget.acquiring > 0 || budget.seen !== undefined;
  }

  #reserveHeld(account: EscrowAccount, tokens: number): 'reserved' | 'unavailable' {
    return account.reserve(tokens) ? 'reserved' : 'unavailable';
  }

  /** Takes tokens from the store, from a peer, or, for a program that is new to all, on trust. */
  async #acquire(
    key: string,
    budget: ProgramBudget,
    request: BudgetRequest,
  ): Promise<'reserved' | 'spent' | 'unavailable'> {
    const { account } = budget;
    if (account.reserve(request.turnTokens)) return 'reserved';
    const isMoved = request.isContinuation && !budget.hasGranted;
    if (isMoved && (await this.#borrowHeld(key, budget, request))) return 'reserved';
    if (this.#mayTryStore()) {
      const obtained = await this.#obtain(key, budget, request);
      if (obtained !== 'unavailable') return obtained;
    }
    const { limitTokens, turnTokens } = request;
    const wanted = { budget: key, limitTokens, turnTokens, mayUseStore: true };
    const loan = await this.#parts.borrow(wanted);
    switch (loan.kind) {
      case 'lent':
        account.receive(loan.tokens);
        return this.#reserveHeld(account, turnTokens);
      case 'spent':
        return 'spent';
      case 'none':
        return loan.isUnknownToAll ? this.#grantOnTrust(budget, request) : 'unavailable';
    }
  }

  /** Borrows what a peer holds for a program that has moved here, which costs no call to the store. */
  async #borrowHeld(
    key: string,
    { account }: ProgramBudget,
    { limitTokens, turnTokens }: BudgetRequest,
  ): Promise<boolean> {
    const wanted = { budget: key, limitTokens, turnTokens, mayUseStore: false };
    const loan = await this.#parts.borrow(wanted);
    if (loan.kind === 'lent') account.receive(loan.tokens);
    return account.reserve(turnTokens);
  }

  /**
   * Grants a program's whole budget without the store: all members are up since they began to
   * remember, and none has seen the program. The store is told once it is back.
   */
  #grantOnTrust(
    budget: ProgramBudget,
    { programId, limitTokens, turnTokens }: BudgetRequest,
  ): 'reserved' | 'unavailable' {
    const isNew = budget.seen === undefined && budget.unrecordedTokens === 0;
    if (!isNew || budget.account.reservedTokens > 0 || !this.#parts.isMemoryWhole()) {
      return 'unavailable';
    }
    const trusted = budget;
    trusted.unrecordedTokens = limitTokens;
    trusted.unrecordedLimit = limitTokens;
    budget.account.receive(limitTokens);
    this.#parts.logger.info('budget.granted-on-trust', { program: programId, limitTokens });
    return this.#reserveHeld(budget.account, turnTokens);
  }

  /** Takes tokens from the store until the turn's are reserved, or it is known that there are none. */
  async #obtain(
    key: string,
    budget: ProgramBudget,
    request: BudgetRequest,
  ): Promise<'reserved' | 'spent' | 'unavailable'> {
    const { programId, limitTokens, turnTokens } = request;
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
        const wasUnseen = budget.seen === undefined;
        const written = await this.#change(key, budget, plan.tokens, limitTokens);
        if (written === 'done') budget.account.receive(plan.tokens);
        if (written === 'failed') return 'unavailable';
        // The program has begun at a peer, which mostly holds enough for both.
        if (written === 'conflict' && wasUnseen && (await this.#borrowHeld(key, budget, request))) {
          return 'reserved';
        }
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
    if (read.isErr()) {
      this.#suspectStore();
      return false;
    }
    this.#nextProbeMilliseconds = undefined;
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
      grantedTokens: Math.max(0, before.grantedTokens + budget.unrecordedTokens + tokens),
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
      this.#suspectStore();
      logger.info('budget.write-failed', { error: written.error.kind, tokens });
      return 'failed';
    }
    if (written.value.kind === 'swapped') {
      known.seen = { state, revision: written.value.revision };
      known.unrecordedTokens = 0;
      this.#nextProbeMilliseconds = undefined;
      return 'done';
    }
    this.#nextProbeMilliseconds = undefined;
    return this.#see(budget, written.value.current) ? 'conflict' : 'failed';
  }

  #budgetOf(key: string): ProgramBudget {
    const known = this.#budgets.get(key);
    const budget: ProgramBudget = known ?? {
      account: new EscrowAccount(),
      seen: undefined,
      changing: Promise.resolve(),
      usedAtMilliseconds: 0,
      unrecordedTokens: 0,
      absentUntilMilliseconds: 0,
      hasGranted: false,
      acquiring: 0,
      unrecordedLimit: 0,
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
    for (const [key, { usedAtMilliseconds, account, unrecordedTokens }] of this.#budgets) {
      const isNeeded = account.reservedTokens > 0 || unrecordedTokens > 0;
      const isUnused = !isNeeded && usedAtMilliseconds < idleSince;
      if (!isUnused && this.#budgets.size <= MAXIMUM_ACCOUNTS) return;
      if (!isNeeded) this.#budgets.delete(key);
    }
  }
}

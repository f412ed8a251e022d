import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { BudgetLimits, Usage } from './programRecord';
import { addUsage } from './util/addUsage';
import { NO_USAGE } from './util/noUsage';
import { subtractUsage } from './util/subtractUsage';

/** Limit of a budget that leaves too little for a call. */
export type BudgetLimitName = 'tokens' | 'calls' | 'spend' | 'wall-time';

/** What a call needs of a budget. */
export interface BudgetDemand {
  readonly worstCase: Usage;
  /** Tokens below which the call is of no use. */
  readonly minimumTokens: number;
}

/** Options of a {@link Budget}. */
export interface BudgetOptions {
  readonly limits: BudgetLimits;
  /** Start of the root program, from which wall time counts. */
  readonly startedAtMilliseconds: number;
}

/** Limits, reservations and spending of a root program and all its sub-agents. */
export class Budget {
  readonly limits: BudgetLimits;

  readonly startedAtMilliseconds: number;

  #spent: Usage = NO_USAGE;

  #reserved: Usage = NO_USAGE;

  constructor({ limits, startedAtMilliseconds }: BudgetOptions) {
    this.limits = limits;
    this.startedAtMilliseconds = startedAtMilliseconds;
  }

  get spent(): Usage {
    return this.#spent;
  }

  get reserved(): Usage {
    return this.#reserved;
  }

  /** Tells whether amounts are left for a reservation. */
  covers({ tokens, calls, spendMicros }: Usage): boolean {
    const left = this.left();
    const covered = (amount: number, rest = amount): boolean => amount === 0 || amount <= rest;
    return (
      covered(tokens, left.tokens) &&
      covered(calls, left.calls) &&
      covered(spendMicros, left.spendMicros)
    );
  }

  /** Returns what is neither spent nor reserved, below 0 where more was; absent limits stay absent. */
  left(): BudgetLimits {
    const used = addUsage(this.#spent, this.#reserved);
    const { tokens, calls, spendMicros, wallTimeMilliseconds } = this.limits;
    return {
      tokens: tokens === undefined ? undefined : tokens - used.tokens,
      calls: calls === undefined ? undefined : calls - used.calls,
      spendMicros: spendMicros === undefined ? undefined : spendMicros - used.spendMicros,
      wallTimeMilliseconds,
    };
  }

  /** Returns the wall time left in milliseconds, not below 0; `undefined` without a limit. */
  wallTimeLeft(nowMilliseconds: number): number | undefined {
    const { wallTimeMilliseconds } = this.limits;
    if (wallTimeMilliseconds === undefined) return undefined;
    return Math.max(0, this.startedAtMilliseconds + wallTimeMilliseconds - nowMilliseconds);
  }

  /** Returns what a call may spend: its worst case, with tokens capped to what is left. */
  grantFor(demand: BudgetDemand, nowMilliseconds: number): Result<Usage, BudgetLimitName> {
    const { worstCase, minimumTokens } = demand;
    const left = this.left();
    const tokens = Math.min(worstCase.tokens, Math.max(0, left.tokens ?? worstCase.tokens));
    if (this.wallTimeLeft(nowMilliseconds) === 0) return err('wall-time');
    if ((left.calls ?? worstCase.calls) < worstCase.calls) return err('calls');
    if ((left.spendMicros ?? worstCase.spendMicros) < worstCase.spendMicros) return err('spend');
    if (tokens < Math.min(minimumTokens, worstCase.tokens)) return err('tokens');
    return ok({ ...worstCase, tokens });
  }

  /** Adds what was spent before, as a snapshot kept it. */
  addSpent(usage: Usage): void {
    this.#spent = addUsage(this.#spent, usage);
  }

  /** Sets amounts aside for a call. */
  reserve(reservation: Usage): void {
    this.#reserved = addUsage(this.#reserved, reservation);
  }

  /** Sets aside again what `settle` counted as spent in full. */
  reopen(reservation: Usage): void {
    this.#spent = subtractUsage(this.#spent, reservation);
    this.#reserved = addUsage(this.#reserved, reservation);
  }

  /** Replaces a reservation with what the call really spent. */
  settle(reservation: Usage, usage: Usage): void {
    this.#reserved = subtractUsage(this.#reserved, reservation);
    this.#spent = addUsage(this.#spent, usage);
  }
}

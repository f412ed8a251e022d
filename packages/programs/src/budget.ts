import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { BudgetLimits, Usage } from './programRecord';
import { addUsage } from './util/addUsage';
import { NO_USAGE } from './util/noUsage';
import { subtractUsage } from './util/subtractUsage';

/** Budget limit that rejected a call. */
export type BudgetLimitName = 'tokens' | 'calls' | 'spend' | 'wall-time';

/** Amounts that a call needs from a budget. */
export interface BudgetDemand {
  readonly worstCase: Usage;
  /** Minimum number of tokens with which the call is useful. */
  readonly minimumTokens: number;
}

/** Options of a {@link Budget}. */
export interface BudgetOptions {
  readonly limits: BudgetLimits;
  /** Start of the root program; wall time is measured from here. */
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

  /** Returns whether the remaining amounts cover a reservation. */
  covers({ tokens, calls, spendMicros }: Usage): boolean {
    const remaining = this.getRemaining();
    const isCovered = (amount: number, available = amount): boolean =>
      amount === 0 || amount <= available;
    return (
      isCovered(tokens, remaining.tokens) &&
      isCovered(calls, remaining.calls) &&
      isCovered(spendMicros, remaining.spendMicros)
    );
  }

  /**
   * Returns the amounts that are neither spent nor reserved. They are negative where the usage
   * exceeded a limit; absent limits stay absent.
   */
  getRemaining(): BudgetLimits {
    const used = addUsage(this.#spent, this.#reserved);
    const { tokens, calls, spendMicros, wallTimeMilliseconds } = this.limits;
    return {
      tokens: tokens === undefined ? undefined : tokens - used.tokens,
      calls: calls === undefined ? undefined : calls - used.calls,
      spendMicros: spendMicros === undefined ? undefined : spendMicros - used.spendMicros,
      wallTimeMilliseconds,
    };
  }

  /** Returns the remaining wall time, at least 0; `undefined` without a limit. */
  getRemainingWallTimeMilliseconds(nowMilliseconds: number): number | undefined {
    const { wallTimeMilliseconds } = this.limits;
    if (wallTimeMilliseconds === undefined) return undefined;
    return Math.max(0, this.startedAtMilliseconds + wallTimeMilliseconds - nowMilliseconds);
  }

  /** Returns what a call may spend: its worst case, with tokens capped to the remaining ones. */
  computeGrant(demand: BudgetDemand, nowMilliseconds: number): Result<Usage, BudgetLimitName> {
    const { worstCase, minimumTokens } = demand;
    const left = this.getRemaining();
    const tokens = Math.min(worstCase.tokens, Math.max(0, left.tokens ?? worstCase.tokens));
    if (this.getRemainingWallTimeMilliseconds(nowMilliseconds) === 0) return err('wall-time');
    if ((left.calls ?? worstCase.calls) < worstCase.calls) return err('calls');
    if ((left.spendMicros ?? worstCase.spendMicros) < worstCase.spendMicros) return err('spend');
    if (tokens < Math.min(minimumTokens, worstCase.tokens)) return err('tokens');
    return ok({ ...worstCase, tokens });
  }

  /** Adds earlier spending, restored from a snapshot. */
  addSpent(usage: Usage): void {
    this.#spent = addUsage(this.#spent, usage);
  }

  /** Reserves amounts for a call. */
  reserve(reservation: Usage): void {
    this.#reserved = addUsage(this.#reserved, reservation);
  }

  /** Turns a reservation that `settle` counted as fully spent back into a reservation. */
  restoreReservation(reservation: Usage): void {
    this.#spent = subtractUsage(this.#spent, reservation);
    this.#reserved = addUsage(this.#reserved, reservation);
  }

  /** Replaces a reservation with the actual usage of the call. */
  settle(reservation: Usage, usage: Usage): void {
    this.#reserved = subtractUsage(this.#reserved, reservation);
    this.#spent = addUsage(this.#spent, usage);
  }
}

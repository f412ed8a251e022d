/** What the store says of a program's budget. */
export interface EscrowState {
  /** Tokens that all turns of the program may generate. */
  readonly limitTokens: number;
  /** Tokens that instances have taken and not given back. */
  readonly grantedTokens: number;
}

/**
 * Part of what is left in the store that an instance takes at once. Turns generate far less than
 * they may, so that a quarter mostly lasts for a whole program, and an instance that dies loses no
 * more of the budget.
 */
const PART_AT_ONCE = 0.25;

/** Turns that a small budget should cover without another write. */
const TURNS_AT_ONCE = 2.5;

/** Part of what is left that an instance leaves for the others beyond the turn at hand. */
const LARGEST_PART = 0.5;

/** How much an instance should take for a turn. */
export type GrantPlan =
  | { readonly kind: 'enough' }
  /** Take this many tokens from the store. */
  | { readonly kind: 'take'; readonly tokens: number }
  /** The store has less than the turn needs; other instances may give some back. */
  | { readonly kind: 'exhausted' };

/**
 * Part of one program's token budget that one instance holds. An instance spends only what it took
 * from the store before, so the budget holds without clocks, leases or an owner, whoever dies.
 */
export class EscrowAccount {
  #heldTokens = 0;

  #reservedTokens = 0;

  /** Tokens that are neither spent nor reserved for a turn. */
  get heldTokens(): number {
    return this.#heldTokens;
  }

  /** Tokens reserved for turns under way. */
  get reservedTokens(): number {
    return this.#reservedTokens;
  }

  /** Reserves the most that a turn may generate; returns whether enough is held. */
  reserve(turnTokens: number): boolean {
    if (this.#heldTokens < turnTokens) return false;
    this.#heldTokens -= turnTokens;
    this.#reservedTokens += turnTokens;
    return true;
  }

  /** Ends a reservation: what the turn has not generated can be spent on other turns. */
  settle(turnTokens: number, usedTokens: number): void {
    this.#reservedTokens -= turnTokens;
    this.#heldTokens += Math.max(0, turnTokens - usedTokens);
  }

  /** Adds tokens that were taken from the store. */
  receive(tokens: number): void {
    this.#heldTokens += tokens;
  }

  /** Takes all that is held out of the account, to give it back to the store. */
  withdraw(): number {
    const tokens = this.#heldTokens;
    this.#heldTokens = 0;
    return tokens;
  }

  /** Plans what to take for a turn, given what the store says. */
  plan(turnTokens: number, state: EscrowState): GrantPlan {
    const needed = turnTokens - this.#heldTokens;
    if (needed <= 0) return { kind: 'enough' };
    const left = state.limitTokens - state.grantedTokens;
    if (left < needed) return { kind: 'exhausted' };
    const comfortable = Math.max(turnTokens * TURNS_AT_ONCE, left * PART_AT_ONCE);
    const bounded = Math.floor(Math.min(comfortable, left * LARGEST_PART));
    return { kind: 'take', tokens: Math.max(needed, bounded) };
  }
}

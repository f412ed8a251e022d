/** State of a program's budget in the store. */
export interface EscrowState {
  /** Maximum number of tokens that all turns of the program may generate. */
  readonly limitTokens: number;
  /** Tokens that instances have taken and not returned. */
  readonly grantedTokens: number;
}

/**
 * Share of the remaining tokens in the store that an instance takes with one write. Turns generate
 * far less than their maximum, so a quarter usually lasts for a complete program. It also limits
 * the part of the budget that is lost when an instance crashes.
 */
const PREFERRED_GRANT_RATIO = 0.25;

/** Number of turns that one grant should cover without another write, for small budgets. */
const PREFERRED_GRANT_TURNS = 2.5;

/**
 * Maximum share of the remaining tokens to take unless the current turn needs more; the rest is
 * left to other instances.
 */
const MAXIMUM_GRANT_RATIO = 0.5;

/** Whether and how many tokens an instance should take for a turn. */
export type GrantPlan =
  | { readonly kind: 'enough' }
  /** Number of tokens to take from the store. */
  | { readonly kind: 'take'; readonly tokens: number }
  /** The store has fewer tokens than the turn needs; other instances may return some. */
  | { readonly kind: 'exhausted' };

/**
 * Part of one program's token budget that is held by one instance. An instance spends only tokens
 * that it has taken from the store before. The budget therefore holds without clocks, leases or an
 * owner, whichever instances crash.
 */
export class EscrowAccount {
  #heldTokens = 0;

  #reservedTokens = 0;

  /** Tokens that are neither spent nor reserved for a turn. */
  get heldTokens(): number {
    return this.#heldTokens;
  }

  /** Tokens reserved for turns in progress. */
  get reservedTokens(): number {
    return this.#reservedTokens;
  }

  /** Reserves the maximum that a turn may generate; returns `false` if too few tokens are held. */
  reserve(turnTokens: number): boolean {
    if (this.#heldTokens < turnTokens) return false;
    this.#heldTokens -= turnTokens;
    this.#reservedTokens += turnTokens;
    return true;
  }

  /** Ends a reservation; tokens that the turn did not generate become available to other turns. */
  settle(turnTokens: number, usedTokens: number): void {
    this.#reservedTokens -= turnTokens;
    this.#heldTokens += Math.max(0, turnTokens - usedTokens);
  }

  /** Adds tokens taken from the store. */
  deposit(tokens: number): void {
    this.#heldTokens += tokens;
  }

  /** Removes all held tokens from the account, to return them to the store. */
  withdraw(): number {
    const tokens = this.#heldTokens;
    this.#heldTokens = 0;
    return tokens;
  }

  /** Plans the grant to take for a turn, given the state in the store. */
  planGrant(turnTokens: number, state: EscrowState): GrantPlan {
    const neededTokens = turnTokens - this.#heldTokens;
    if (neededTokens <= 0) return { kind: 'enough' };
    const remainingTokens = state.limitTokens - state.grantedTokens;
    if (remainingTokens < neededTokens) return { kind: 'exhausted' };
    const preferredTokens = Math.max(
      turnTokens * PREFERRED_GRANT_TURNS,
      remainingTokens * PREFERRED_GRANT_RATIO,
    );
    const boundedTokens = Math.floor(
      Math.min(preferredTokens, remainingTokens * MAXIMUM_GRANT_RATIO),
    );
    return { kind: 'take', tokens: Math.max(neededTokens, boundedTokens) };
  }
}

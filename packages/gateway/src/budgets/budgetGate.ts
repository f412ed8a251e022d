/** Result of reserving tokens of a program's budget for one turn. */
export type BudgetDecision =
  | {
      readonly kind: 'reserved';
      /** Records the tokens that the turn generated and releases the rest of its reservation. */
      readonly settle: (usedTokens: number) => void;
    }
  /** The remaining tokens are fewer than the turn may generate. */
  | { readonly kind: 'spent' }
  /** Neither the store nor a peer can grant tokens at the moment. */
  | { readonly kind: 'unavailable'; readonly retryAfterSeconds: number };

/** Request for the tokens of one turn. */
export interface BudgetRequest {
  readonly programId: string;
  /** Maximum tokens that all turns of the program together may generate. */
  readonly limitTokens: number;
  /** Maximum tokens that this turn may generate. */
  readonly turnTokens: number;
  /** Whether earlier turns of the program must have run, possibly on another instance. */
  readonly isContinuation: boolean;
}

/** Enforces the token budgets of programs across all instances. */
export interface BudgetGate {
  reserve(request: BudgetRequest): Promise<BudgetDecision>;
  /** Whether a turn of this size was refused a short time ago, as the budget is spent. */
  isKnownSpent(programId: string, turnTokens: number): boolean;
  /** Whether any instance has granted tokens to a turn of the program. */
  hasProgramStarted(programId: string): Promise<boolean>;
}

/** Whether one turn fits in its program's token budget. */
export type BudgetDecision =
  | {
      readonly kind: 'reserved';
      /** Notes the tokens that the turn generated; the rest of its reservation goes back. */
      readonly settle: (usedTokens: number) => void;
    }
  /** What is left is less than the turn may generate. */
  | { readonly kind: 'spent' }
  /** Nothing can be granted for now. */
  | { readonly kind: 'unavailable'; readonly retryAfterSeconds: number };

/** One turn that asks for tokens. */
export interface BudgetRequest {
  readonly programId: string;
  /** Tokens that all turns of the program may generate. */
  readonly limitTokens: number;
  /** Most tokens that this turn generates. */
  readonly turnTokens: number;
  /** Whether turns of the program must have run before, maybe at another instance. */
  readonly isContinuation: boolean;
}

/** Holds programs to their token budgets over all instances. */
export interface BudgetGate {
  reserve(request: BudgetRequest): Promise<BudgetDecision>;
  /** Whether a turn of the program was granted tokens at any instance. */
  hasBegun(programId: string): Promise<boolean>;
}

/** A turn for which an instance asks its peers for tokens. */
export interface LoanRequest {
  /** Key of the program's budget. */
  readonly budget: string;
  /** Tokens that all turns of the program may generate. */
  readonly limitTokens: number;
  /** Most tokens that the turn generates. */
  readonly turnTokens: number;
  /** Whether the lender may take tokens from the store, as the borrower can't. */
  readonly mayUseStore: boolean;
}

/** What peers can spare of a program's budget. */
export type Loan =
  /** Tokens that peers have given up. */
  | { readonly kind: 'lent'; readonly tokens: number }
  /** A peer in touch with the store found the budget spent. */
  | { readonly kind: 'spent' }
  | {
      readonly kind: 'none';
      /** Whether an instance that answered knows the program, or may have forgotten it. */
      readonly mayHaveBegun: boolean;
      /** Other members that answered. */
      readonly answers: number;
    };

/** How an instance answers a peer's request for tokens. */
export type LoanAnswer =
  | { readonly kind: 'lent'; readonly tokens: number }
  | { readonly kind: 'spent' }
  | {
      readonly kind: 'none';
      readonly isKnown: boolean;
      readonly isMemoryWhole: boolean;
      /** Whether it could ask the store. */
      readonly canUseStore: boolean;
    };

/** Request to peers for the tokens of one turn. */
export interface LoanRequest {
  /** Key of the program's budget. */
  readonly budget: string;
  /** Maximum tokens that all turns of the program together may generate. */
  readonly limitTokens: number;
  /** Maximum tokens that the turn may generate. */
  readonly turnTokens: number;
  /** Whether the lender may take tokens from the store, which the borrower cannot reach. */
  readonly mayUseStore: boolean;
  /** Process that asks; empty if it is of a version that grants without promises. */
  readonly requester: string;
  /** Whether the requester grants tokens without the store if a majority promises not to. */
  readonly wantsPromise: boolean;
}

/** Result of borrowing tokens of a program's budget from peers. */
export type Loan =
  /** Tokens that peers transferred. */
  | { readonly kind: 'lent'; readonly tokens: number; readonly lenders: readonly string[] }
  /** A peer that can reach the store found the budget spent. */
  | { readonly kind: 'spent' }
  | {
      readonly kind: 'none';
      /** Whether an instance that responded knows that the program may have started. */
      readonly isKnown: boolean;
      /** Names of the instances that leave grants without the store to the requester. */
      readonly promisers: readonly string[];
    };

/** Response of an instance to a peer's request for tokens. */
export type LoanResponse =
  | { readonly kind: 'lent'; readonly tokens: number }
  | { readonly kind: 'spent' }
  | {
      readonly kind: 'none';
      readonly isKnown: boolean;
      readonly isMemoryWhole: boolean;
      /** Whether the instance can reach the store. */
      readonly canUseStore: boolean;
      /** Whether it leaves grants of the budget without the store to the requester. */
      readonly isPromised: boolean;
    };

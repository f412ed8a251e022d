/** What an instance knows about the limit of one incarnation of a target. */
export type TargetLimitState =
  | {
      readonly kind: 'limited';
      readonly requestsPerSecond: number;
      /** When a response last named the limit, by `performance.now()`. */
      readonly observedAtMilliseconds: number;
      /** When this instance learned the current value, by `performance.now()`. */
      readonly learnedAtMilliseconds: number;
      /** Tokens that may be spent at once; half a second's if undefined. */
      readonly burst?: number;
    }
  /** A response no longer named a limit. */
  | { readonly kind: 'ended'; readonly observedAtMilliseconds: number };

/** Where an instance learned a state from. */
export type LimitSource = 'response' | 'peer' | 'announcement';

/** A change of what an instance knows about the limit of a target. */
export interface LimitChange {
  /** Incarnation of the target. */
  readonly incarnationKey: string;
  readonly state: TargetLimitState;
  readonly source: LimitSource;
  readonly isFirst: boolean;
}

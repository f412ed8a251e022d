/** How the members share the rates of organisations. */
export type RateLayout =
  /** This instance holds no part of any rate. */
  | { readonly kind: 'none' }
  /** Each member holds an equal part of every rate. */
  | { readonly kind: 'equal-parts'; readonly rank: number; readonly members: readonly string[] }
  /** A few members, chosen for each organisation, hold its rate. */
  | {
      readonly kind: 'holders';
      readonly instance: string;
      readonly members: readonly string[];
      /**
       * `waiting` while this instance may hold no part yet, `settling` while other members may still
       * hold equal parts.
       */
      readonly stage: 'waiting' | 'settling' | 'settled';
    };

/** How one dispatch of a call to one target ended. */
export type AttemptOutcome =
  /** The caller has its whole answer. */
  | { readonly kind: 'delivered'; readonly status: number }
  /** The target states that it has not run the request. */
  | { readonly kind: 'declined'; readonly reason: 'full' | 'misdirected' }
  /** Nothing of the request reached the target. */
  | { readonly kind: 'not-sent'; readonly detail: string; readonly isRefused: boolean }
  /** The request may have run, and its answer is lost, or what came is no answer to it. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** The target fell silent. */
  | { readonly kind: 'stalled'; readonly detail: string }
  /** The caller closed its connection. */
  | { readonly kind: 'caller-gone' }
  /** The instance ends its last calls. */
  | { readonly kind: 'shutting-down' }
  /** The time for the answer is over. */
  | { readonly kind: 'timed-out'; readonly wasSent: boolean };

/** Why the store gave no usable answer. */
export type StoreError =
  /** The request never reached the store, or the store refused it before any effect. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** The store turned the request away for its rate; it had no effect. */
  | { readonly kind: 'rate-limited'; readonly detail: string }
  /** The request may or may not have taken effect; read the key to find out. */
  | { readonly kind: 'unknown-outcome'; readonly detail: string }
  /** The lease has ended. */
  | { readonly kind: 'lease-ended'; readonly detail: string }
  /** The answer to a read did not follow the protocol; a write gives `unknown-outcome` then. */
  | { readonly kind: 'malformed-answer'; readonly detail: string };

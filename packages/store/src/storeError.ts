/** Error of a call to which the store gave no usable response. */
export type StoreError =
  /** The request never reached the store, or the store rejected it before any effect. */
  | { readonly kind: 'unavailable'; readonly detail: string }
  /** The store rejected the request by its rate limit; the request had no effect. */
  | { readonly kind: 'rate-limited'; readonly detail: string }
  /** The request may or may not have taken effect; read the key to determine which. */
  | { readonly kind: 'unknown-outcome'; readonly detail: string }
  | { readonly kind: 'lease-ended'; readonly detail: string }
  /** The response to a read does not follow the protocol; for a write this is `unknown-outcome`. */
  | { readonly kind: 'malformed-answer'; readonly detail: string };

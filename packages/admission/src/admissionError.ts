/** Why a request was not admitted. A rejected request has not run, not even in part. */
export type AdmissionError =
  | { readonly kind: 'key-missing' }
  | { readonly kind: 'key-unknown' }
  /** The request has several credentials, or one in a place where it cannot be removed. */
  | { readonly kind: 'key-ambiguous' }
  | { readonly kind: 'route-not-found' }
  | { readonly kind: 'method-not-allowed'; readonly allowed: readonly string[] }
  | { readonly kind: 'route-forbidden' }
  | { readonly kind: 'rate-exceeded'; readonly retryAfterMilliseconds: number };

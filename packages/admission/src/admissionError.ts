/** Why a request was not let in; none of it ran. */
export type AdmissionError =
  | { readonly kind: 'key-missing' }
  | { readonly kind: 'key-unknown' }
  /** Several credentials came with one request, or one stands where it cannot be removed. */
  | { readonly kind: 'key-ambiguous' }
  | { readonly kind: 'route-not-found' }
  | { readonly kind: 'method-not-allowed'; readonly allowed: readonly string[] }
  | { readonly kind: 'route-forbidden' }
  | { readonly kind: 'rate-exceeded'; readonly retryAfterMilliseconds: number };

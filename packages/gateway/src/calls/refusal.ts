/** Why the gateway refuses a request, and whether the request may have run. */
export type Refusal =
  | { readonly kind: 'malformed'; readonly detail: string }
  | { readonly kind: 'unknown-key' }
  | { readonly kind: 'unknown-route' }
  /** The turn that the request continues does not exist; the request has not run. */
  | { readonly kind: 'unknown-turn' }
  | { readonly kind: 'body-too-large' }
  /** The rest of the body did not arrive in time; the request has not run. */
  | { readonly kind: 'too-slow' }
  /** The rate limit of the organisation is exceeded; the request has not run. */
  | { readonly kind: 'over-rate'; readonly retryAfterSeconds: number }
  /** The token budget of the program is exhausted; the request has not run. */
  | { readonly kind: 'budget-spent' }
  /** The request cannot be served now; it has not run. */
  | { readonly kind: 'unavailable'; readonly reason: string; readonly retryAfterSeconds: number }
  /** The request crashes the targets that run it; it has not run. */
  | { readonly kind: 'quarantined'; readonly digest: string }
  /** The request may have run, and its response is unavailable. */
  | { readonly kind: 'outcome-unknown'; readonly reason: string }
  /** The deadline of the response has passed; the request may have run. */
  | { readonly kind: 'timed-out' };

/** Returns the HTTP status code of a refusal. */
export const statusOf = (refusal: Refusal): number => {
  switch (refusal.kind) {
    case 'malformed':
      return 400;
    case 'unknown-key':
      return 401;
    case 'budget-spent':
      return 402;
    case 'unknown-route':
    case 'unknown-turn':
      return 404;
    case 'too-slow':
      return 408;
    case 'body-too-large':
      return 413;
    case 'over-rate':
      return 429;
    case 'outcome-unknown':
      return 502;
    case 'quarantined':
    case 'unavailable':
      return 503;
    case 'timed-out':
      return 504;
  }
};

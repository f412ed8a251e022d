/** Why the gateway answers a request itself, and what that says of the request. */
export type Refusal =
  | { readonly kind: 'malformed'; readonly detail: string }
  | { readonly kind: 'unknown-key' }
  | { readonly kind: 'unknown-route' }
  | { readonly kind: 'body-too-large' }
  /** The organisation's rate is used up; the request has not run. */
  | { readonly kind: 'over-rate'; readonly retryAfterSeconds: number }
  /** The program's tokens are used up; the request has not run. */
  | { readonly kind: 'budget-spent' }
  /** Nothing can take the request now; it has not run. */
  | { readonly kind: 'unavailable'; readonly reason: string; readonly retryAfterSeconds: number }
  /** The request crashes the targets that run it; it has not run. */
  | { readonly kind: 'quarantined'; readonly digest: string }
  /** The request may have run, and no answer to it can be had. */
  | { readonly kind: 'outcome-unknown'; readonly reason: string }
  /** The time for the answer is over; the request may have run. */
  | { readonly kind: 'timed-out' };

/** Returns the status code of a refusal. */
export const statusOf = (refusal: Refusal): number => {
  switch (refusal.kind) {
    case 'malformed':
      return 400;
    case 'unknown-key':
      return 401;
    case 'budget-spent':
      return 402;
    case 'unknown-route':
      return 404;
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

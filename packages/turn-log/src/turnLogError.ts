/** Error of an operation of the turn log. */
export type TurnLogError =
  /** The disk is full; the turn was not stored. */
  | { readonly kind: 'disk-full'; readonly detail: string }
  /** The disk failed; the turn may or may not exist after a restart. */
  | { readonly kind: 'disk-failed'; readonly detail: string }
  /** The turn was stored, but its record can no longer be read. */
  | { readonly kind: 'damaged'; readonly detail: string }
  /** The log was closed. */
  | { readonly kind: 'closed' };

/** Why a log of turns gave no usable answer. */
export type TurnLogError =
  /** The disk has no room; nothing was kept. */
  | { readonly kind: 'disk-full'; readonly detail: string }
  /** The disk failed; the turn may or may not be found after a restart. */
  | { readonly kind: 'disk-failed'; readonly detail: string }
  /** The turn was kept, and its record can't be read any more. */
  | { readonly kind: 'damaged'; readonly detail: string }
  /** The log was closed. */
  | { readonly kind: 'closed' };

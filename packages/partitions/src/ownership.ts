import type { Member } from './member';

/** Owner of a partition, as known to this instance. */
export type Ownership =
  | { readonly kind: 'local'; readonly epoch: number }
  | { readonly kind: 'remote'; readonly epoch: number; readonly owner: Member }
  /** No owner is known, or a takeover is in progress; query again shortly. */
  | { readonly kind: 'unowned' };

import type { Member } from './member';

/** Who owns a partition, as far as this instance knows. */
export type Ownership =
  | { readonly kind: 'local'; readonly epoch: number }
  | { readonly kind: 'remote'; readonly epoch: number; readonly owner: Member }
  /** Nobody yet, or a takeover is under way; ask again shortly. */
  | { readonly kind: 'unowned' };

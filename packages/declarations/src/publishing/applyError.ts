import type { LoadError } from './loadRevision';

/** Why a root value was not put in force; the last set stays. */
export type ApplyError =
  | LoadError
  /** The root has a lower revision than the set in force. */
  | { readonly kind: 'lower-revision'; readonly offered: number; readonly current: number }
  /** Two roots of one revision differ. */
  | { readonly kind: 'revision-reused'; readonly revision: number };

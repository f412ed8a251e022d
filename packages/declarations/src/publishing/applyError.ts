import type { LoadError } from './loadRevision';

/** Why a root value was not applied; the last configuration remains in force. */
export type ApplyError =
  | LoadError
  /** The root has a lower revision than the configuration in force. */
  | { readonly kind: 'lower-revision'; readonly offered: number; readonly current: number }
  /** Two different roots have the same revision. */
  | { readonly kind: 'revision-reused'; readonly revision: number };

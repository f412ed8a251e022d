import type { Fault } from '../checking/fault';
import type { FormatError } from '../format/formatError';

/** Why a configuration was not published, or may not have been. */
export type PublishError =
  /** Another revision than the base is current; nothing was published. */
  | {
      readonly kind: 'conflict';
      readonly baseRevision: number;
      readonly currentRevision: number;
      readonly author: string;
      readonly publishedAt: string;
    }
  /** The set has faults; nothing was published. */
  | { readonly kind: 'faults'; readonly faults: readonly Fault[] }
  /** No such revision is kept; nothing was published. */
  | { readonly kind: 'revision-not-kept'; readonly revision: number }
  /** A stored value can't be read, or the set is too large to store; nothing was published. */
  | { readonly kind: 'format'; readonly error: FormatError }
  /** The store gave no answer before the revision could have been written. */
  | { readonly kind: 'store-unreachable'; readonly detail: string }
  /** The store gave no answer on whether the revision took effect. */
  | {
      readonly kind: 'outcome-unknown';
      readonly revision: number;
      readonly publishId: string;
      readonly detail: string;
    };

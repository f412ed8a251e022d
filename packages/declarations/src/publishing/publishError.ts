import type { Fault } from '../checking/fault';
import type { FormatError } from '../format/formatError';

/** Why a configuration was not published, or why the outcome is unknown. */
export type PublishError =
  /** The base is not the current revision; nothing was published. */
  | {
      readonly kind: 'conflict';
      readonly baseRevision: number;
      readonly currentRevision: number;
      readonly author: string;
      readonly publishedAt: string;
    }
  /** The configuration has faults; nothing was published. */
  | { readonly kind: 'faults'; readonly faults: readonly Fault[] }
  /** The revision is not in the history; nothing was published. */
  | { readonly kind: 'revision-not-kept'; readonly revision: number }
  /** A stored value is invalid, or the configuration is too large; nothing was published. */
  | { readonly kind: 'format'; readonly error: FormatError }
  /**
   * The store was unavailable before the revision could have been written; nothing was published.
   */
  | { readonly kind: 'store-unreachable'; readonly detail: string }
  /** The store did not confirm whether the revision was written. */
  | {
      readonly kind: 'outcome-unknown';
      readonly revision: number;
      readonly publishId: string;
      readonly detail: string;
    };

/** What memory is held for. Each kind has a share of its own. */
export type HoldingKind =
  /** Heads and bodies of requests, from their first byte until they are answered. */
  | 'request'
  /** Complete responses that their callers have not read, and unfinished responses of targets. */
  | 'response'
  /** Messages of other instances. */
  | 'peer'
  /** Data that can be read again from elsewhere. */
  | 'cache';

/** Lifetime of a slice. A new owner waits this long after the end of the previous owner's term. */
export const SLICE_LIFETIME_MILLISECONDS = 300;

/** One entry's demand for tokens of one organisation's rate. */
export interface SliceDemand {
  readonly organisation: string;
  /** Number of requests that wait or are expected before the next exchange. */
  readonly wanted: number;
  /** Tokens of service that the organisation received here since the last report. */
  readonly serviceTokens: number;
  /** Number of requests that the entry may still admit under earlier grants when it sends this. */
  readonly held: number;
  /** `grant` of the last grant that the entry accepted; 0 if there is none. */
  readonly lastGrant: number;
}

/** Part of an organisation's rate that is lent to one entry; the owner counts it as spent. */
export interface SliceGrant {
  readonly organisation: string;
  /** Identifies the grant at its owner. */
  readonly grant: number;
  readonly granted: number;
  /**
   * Lifetime of the grant, counted from just before the demand was sent; unused tokens then expire.
   */
  readonly expiresInMilliseconds: number;
  /** Time after which a token is likely to be available, if fewer than wanted were granted. */
  readonly retryAfterMilliseconds: number;
  /** Tokens of service that other entries and owners reported since this entry's last exchange. */
  readonly remoteServiceTokens: number;
}

/** Life of a slice; a new owner waits so long after the old holder's time. */
export const SLICE_LIFE_MILLISECONDS = 300;

/** Demand of one entry for one organisation's rate. */
export interface SliceDemand {
  readonly organisation: string;
  /** Requests that wait or are expected until the next exchange. */
  readonly wanted: number;
  /** Tokens of service given here to the organisation since the last report. */
  readonly serviceTokens: number;
  /** Requests that the entry may still let in by earlier grants, as it sends this. */
  readonly held: number;
  /** `grant` of the last grant that the entry accepted; 0 for none. */
  readonly lastGrant: number;
}

/** Part of an organisation's rate, lent to one entry; it counts as spent at the owner. */
export interface SliceGrant {
  readonly organisation: string;
  /** Identifies the grant at its owner. */
  readonly grant: number;
  readonly granted: number;
  /** Time from before the demand was sent after which what is unused is dropped. */
  readonly expiresInMilliseconds: number;
  /** Time after which a whole request is likely to be granted, where fewer than wanted were. */
  readonly retryAfterMilliseconds: number;
  /** Tokens of service that other entries and owners reported since this entry's last exchange. */
  readonly remoteServiceTokens: number;
}

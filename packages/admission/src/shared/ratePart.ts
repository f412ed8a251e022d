/** Part of an organisation's rate that one instance holds. */
export interface RatePart {
  /** Requests per second of the organisation over all instances. */
  readonly perSecond: number;
  /** Requests that the organisation may send at once over all instances. */
  readonly burst: number;
  /** Window over which the operator measures the rate, in seconds. */
  readonly windowSeconds: number;
  /** Number of instances that hold a part; 0 if this instance must not spend any tokens. */
  readonly holders: number;
  /** Rank of this instance among the holders, from 0. */
  readonly rank: number;
}

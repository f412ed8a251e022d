/** Which part of every organisation's rate an instance holds. */
export interface Holding {
  /** Instances that hold equal parts; 0 where this one holds none. */
  readonly holders: number;
  /** Rank of this instance among them, from 0. */
  readonly rank: number;
}

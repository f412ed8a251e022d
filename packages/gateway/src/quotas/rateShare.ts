/** This instance's part of a rate: its rank among a number of equal holders, 0 if it holds none. */
export interface RateShare {
  readonly rank: number;
  readonly holders: number;
  /** Members that hold the rate, the one that decides on programs first; undefined if all do. */
  readonly chosenHolders: readonly string[] | undefined;
}

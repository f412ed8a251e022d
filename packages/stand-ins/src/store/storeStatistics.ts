/** Kinds of call that the store stand-in counts. */
export const STORE_CALL_KINDS = [
  'range',
  'transaction',
  'lease-grant',
  'lease-keepalive',
  'lease-revoke',
  'watch',
] as const;

export type StoreCallName = (typeof STORE_CALL_KINDS)[number];

/** Counts of the store stand-in since its start. */
export interface StoreStatistics {
  readonly calls: Readonly<Record<StoreCallName, number>>;
  readonly reads: number;
  readonly writes: number;
  readonly refusedForRate: number;
  /** Number of open watches. */
  readonly waitingWatches: number;
  readonly revision: number;
  /** Size of the largest value written so far, in bytes. */
  readonly largestValueBytes: number;
}

/** Kinds of calls that the store stand-in counts. */
export const STORE_CALL_KINDS = [
  'range',
  'transaction',
  'lease-grant',
  'lease-keepalive',
  'lease-revoke',
  'watch',
] as const;

export type StoreCallName = (typeof STORE_CALL_KINDS)[number];

/** What the store stand-in counted since its start. */
export interface StoreStatistics {
  readonly calls: Readonly<Record<StoreCallName, number>>;
  readonly reads: number;
  readonly writes: number;
  readonly refusedForRate: number;
  /** Watches that are open now. */
  readonly waitingWatches: number;
  readonly revision: number;
  /** Bytes of the largest value that was written. */
  readonly largestValueBytes: number;
}

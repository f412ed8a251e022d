/** Timings and limits of membership, ownership and the journal. */
export interface PartitionSettings {
  /** Time to live of the lease of an instance, in milliseconds; 3,000 by default. */
  readonly leaseMilliseconds: number;
  /** Deadline of a store operation, in milliseconds; 1,000 by default. */
  readonly storeDeadlineMilliseconds: number;
  /** Deadline of a peer call, in milliseconds; 500 by default. */
  readonly peerDeadlineMilliseconds: number;
  /**
   * Longest time for which an owner continues without the store, in milliseconds; an hour by
   * default.
   */
  readonly outageLimitMilliseconds: number;
  /** Longest time for which an append waits for its commit, in milliseconds; 5,000 by default. */
  readonly commitDeadlineMilliseconds: number;
  /** Journal writes per second, summed over all instances; 200 by default. */
  readonly fleetWritesPerSecond: number;
  /**
   * Burst that an idle instance may write at once, as milliseconds of its share; 500 by default.
   */
  readonly writeBurstMilliseconds: number;
  /** Largest size of the records stored in the head itself, in bytes; 32 KiB by default. */
  readonly inlineBytes: number;
  /**
   * Number of segments from which a snapshot may replace them: it does so once their total length
   * reaches that of the last snapshot, or once there are eight times as many; 16 by default.
   */
  readonly segmentsBeforeSnapshot: number;
  /** Largest size of the records of one append, in bytes; 8 MiB by default. */
  readonly appendBytes: number;
  /**
   * Largest size of the records of a partition that wait for the store, in bytes; 16 MiB by
   * default.
   */
  readonly waitingBytes: number;
  /** Shortest time between two renewals of a watch, in milliseconds; 2,000 by default. */
  readonly watchRenewalMilliseconds: number;
  /** Interval between two searches for unowned partitions, in milliseconds; 500 by default. */
  readonly claimIntervalMilliseconds: number;
  /**
   * Delay before a partition whose data cannot be read is claimed again, in milliseconds; 5,000 by
   * default.
   */
  readonly failedPartitionMilliseconds: number;
}

const KIBIBYTE = 1024;

/** Defaults of {@link PartitionSettings}. */
export const DEFAULT_PARTITION_SETTINGS: PartitionSettings = {
  leaseMilliseconds: 3_000,
  storeDeadlineMilliseconds: 1_000,
  peerDeadlineMilliseconds: 500,
  outageLimitMilliseconds: 3_600_000,
  commitDeadlineMilliseconds: 5_000,
  fleetWritesPerSecond: 200,
  writeBurstMilliseconds: 500,
  inlineBytes: 32 * KIBIBYTE,
  segmentsBeforeSnapshot: 16,
  appendBytes: 8 * KIBIBYTE * KIBIBYTE,
  waitingBytes: 16 * KIBIBYTE * KIBIBYTE,
  watchRenewalMilliseconds: 2_000,
  claimIntervalMilliseconds: 500,
  failedPartitionMilliseconds: 5_000,
};

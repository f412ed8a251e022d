/** Timings and limits of membership, ownership and the journal. */
export interface PartitionSettings {
  /** Time to live of an instance's lease, in milliseconds; 3,000 by default. */
  readonly leaseMilliseconds: number;
  /** Time after which a call of the store counts as unanswered, in milliseconds; 1,000 by default. */
  readonly storeDeadlineMilliseconds: number;
  /** Time after which a call of a peer counts as unanswered, in milliseconds; 500 by default. */
  readonly peerDeadlineMilliseconds: number;
  /** Longest time that an owner goes on without the store, in milliseconds; an hour by default. */
  readonly outageLimitMilliseconds: number;
  /** Time that an append may wait for its commit, in milliseconds; 5,000 by default. */
  readonly commitDeadlineMilliseconds: number;
  /** Journal writes a second of the whole fleet; 200 by default. */
  readonly fleetWritesPerSecond: number;
  /** Writes that an idle instance may make at once, as milliseconds of its share; 500 by default. */
  readonly writeBurstMilliseconds: number;
  /** Bytes of records kept in the head itself; 32 KiB by default. */
  readonly inlineBytes: number;
  /**
   * Segments after which a snapshot may replace them: it does once they are as long as the last
   * snapshot, or eight times as many; 16 by default.
   */
  readonly segmentsBeforeSnapshot: number;
  /** Largest batch of records that one append may carry, in bytes; 8 MiB by default. */
  readonly appendBytes: number;
  /** Bytes of records that may wait for the store in each partition; 16 MiB by default. */
  readonly waitingBytes: number;
  /** Shortest time after which a watch is renewed, in milliseconds; 2,000 by default. */
  readonly watchRenewalMilliseconds: number;
  /** Time between two looks for free partitions, in milliseconds; 500 by default. */
  readonly claimIntervalMilliseconds: number;
  /** Time that a partition whose data cannot be read is left alone, in milliseconds; 5,000 by default. */
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

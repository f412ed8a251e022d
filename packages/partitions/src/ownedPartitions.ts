import type { Logger, Metrics } from '@limpetnotch/observability';
import type { JournalEnd, JournalWriter } from './journalWriter';
import type { OwnedPartition } from './ownedPartition';
import type { PartitionSettings } from './partitionSettings';

/** Options of {@link OwnedPartitions}. */
export interface OwnedPartitionsOptions {
  readonly settings: PartitionSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when a partition is no longer owned. */
  onEnd(partition: number, end: JournalEnd): void;
}

/**
 * Partitions that this instance serves, and those that it does not claim for a while after a
 * failure.
 */
export class OwnedPartitions {
  readonly #options: OwnedPartitionsOptions;

  readonly #owned = new Map<number, OwnedPartition>();

  readonly #failedUntil = new Map<number, number>();

  readonly #postponedUntil = new Map<number, number>();

  readonly #movingPartitions = new Set<number>();

  readonly #lastEndedWriters = new Map<number, JournalWriter>();

  constructor(options: OwnedPartitionsOptions) {
    this.#options = options;
  }

  get(partition: number): OwnedPartition | undefined {
    return this.#owned.get(partition);
  }

  listNumbers(): readonly number[] {
    return [...this.#owned.keys()];
  }

  /** Whether a partition is being handed over, so that it accepts no new call. */
  isMoving(partition: number): boolean {
    return this.#movingPartitions.has(partition);
  }

  /** Marks a partition as being handed over until {@link endMove}. */
  startMove(partition: number): void {
    this.#movingPartitions.add(partition);
  }

  endMove(partition: number): void {
    this.#movingPartitions.delete(partition);
  }

  /**
   * Whether the partition is not to be claimed: it is being handed over, failed recently, or failed
   * an assertion.
   */
  isClaimSuspended(partition: number): boolean {
    if (this.#movingPartitions.has(partition)) return true;
    const failedUntil = this.#failedUntil.get(partition) ?? -Infinity;
    const postponedUntil = this.#postponedUntil.get(partition) ?? -Infinity;
    return performance.now() < Math.max(failedUntil, postponedUntil);
  }

  serve(partition: number, owned: OwnedPartition): void {
    this.#owned.set(partition, owned);
    this.#lastEndedWriters.delete(partition);
    this.#failedUntil.delete(partition);
    const { logger, metrics } = this.#options;
    logger.info('partition.claimed', { partition, epoch: owned.writer.epoch });
    metrics.gauge('partition.owned', this.#owned.size);
  }

  /** Returns the journal of the last epoch of the partition that ended on this instance. */
  getLastEndedWriter(partition: number): JournalWriter | undefined {
    return this.#lastEndedWriters.get(partition);
  }

  /** Suspends claims of a partition for the given time, after a failed claim. */
  postponeClaim(partition: number, milliseconds: number): void {
    this.#postponedUntil.set(partition, performance.now() + milliseconds);
  }

  /**
   * Suspends claims of a partition whose data cannot be read, for `failedPartitionMilliseconds`.
   */
  markFailed(partition: number, reason: string): void {
    const { settings, logger, metrics } = this.#options;
    if (!this.#failedUntil.has(partition)) logger.error('partition.failed', { partition, reason });
    metrics.increment('partition.failures');
    const until = performance.now() + settings.failedPartitionMilliseconds;
    this.#failedUntil.set(partition, until);
  }

  /** Removes a partition whose journal has ended. */
  end(partition: number, epoch: number, end: JournalEnd): void {
    const owned = this.#owned.get(partition);
    const isServed = owned?.writer.epoch === epoch;
    if (isServed) {
      this.#owned.delete(partition);
      this.#lastEndedWriters.set(partition, owned.writer);
    }
    this.#reportEnd(partition, epoch, end);
    if (isServed) owned.state.stop();
    this.#options.metrics.gauge('partition.owned', this.#owned.size);
    this.#options.onEnd(partition, end);
  }

  #reportEnd(partition: number, epoch: number, end: JournalEnd): void {
    const { logger, metrics } = this.#options;
    switch (end.kind) {
      case 'released':
        logger.info('partition.released', { partition, epoch });
        break;
      case 'deposed':
        metrics.increment('partition.deposed');
        logger.warn('partition.deposed', { partition, epoch, newerEpoch: end.newerEpoch });
        break;
      case 'unresolved':
        metrics.increment('partition.unresolved');
        logger.warn('partition.unresolved', { partition, epoch });
        break;
      case 'unreadable':
        this.markFailed(partition, end.error.detail);
        break;
      case 'assertion-failed':
        metrics.increment('partition.assertion-failures');
        this.markFailed(partition, end.detail);
        this.#failedUntil.set(partition, Infinity);
        break;
      // no default
    }
  }
}

import type { Logger, Metrics } from '@limpetnotch/observability';
import type { JournalEnd, JournalWriter } from './journalWriter';
import type { OwnedPartition } from './ownedPartition';
import type { PartitionSettings } from './partitionSettings';

/** Options of {@link OwnedPartitions}. */
export interface OwnedPartitionsOptions {
  readonly settings: PartitionSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when a partition is owned no more. */
  onEnd(partition: number, end: JournalEnd): void;
}

/** The partitions that this instance serves, and those that it leaves alone after a failure. */
export class OwnedPartitions {
  readonly #options: OwnedPartitionsOptions;

  readonly #owned = new Map<number, OwnedPartition>();

  readonly #failedUntil = new Map<number, number>();

  readonly #postponedUntil = new Map<number, number>();

  readonly #moving = new Set<number>();

  readonly #lastEnded = new Map<number, JournalWriter>();

  constructor(options: OwnedPartitionsOptions) {
    this.#options = options;
  }

  get(partition: number): OwnedPartition | undefined {
    return this.#owned.get(partition);
  }

  numbers(): readonly number[] {
    return [...this.#owned.keys()];
  }

  /** Whether a partition is being given up, so that it takes no new call. */
  isMoving(partition: number): boolean {
    return this.#moving.has(partition);
  }

  /** Marks a partition as being given up until {@link endMove}. */
  startMove(partition: number): void {
    this.#moving.add(partition);
  }

  endMove(partition: number): void {
    this.#moving.delete(partition);
  }

  /** Whether the partition is being given up, failed here lately, or failed an assertion. */
  isLeftAlone(partition: number): boolean {
    if (this.#moving.has(partition)) return true;
    const failedUntil = this.#failedUntil.get(partition) ?? -Infinity;
    const postponedUntil = this.#postponedUntil.get(partition) ?? -Infinity;
    return performance.now() < Math.max(failedUntil, postponedUntil);
  }

  serve(partition: number, owned: OwnedPartition): void {
    this.#owned.set(partition, owned);
    this.#lastEnded.delete(partition);
    this.#failedUntil.delete(partition);
    const { logger, metrics } = this.#options;
    logger.info('partition.claimed', { partition, epoch: owned.writer.epoch });
    metrics.gauge('partition.owned', this.#owned.size);
  }

  /** Returns the journal of the last epoch that ended here. */
  lastEnded(partition: number): JournalWriter | undefined {
    return this.#lastEnded.get(partition);
  }

  /** Leaves a partition alone for a while after a claim that failed. */
  postpone(partition: number, milliseconds: number): void {
    this.#postponedUntil.set(partition, performance.now() + milliseconds);
  }

  /** Leaves a partition alone whose data cannot be read, before it is tried again. */
  fail(partition: number, reason: string): void {
    const { settings, logger, metrics } = this.#options;
    if (!this.#failedUntil.has(partition)) logger.error('partition.failed', { partition, reason });
    metrics.increment('partition.failures');
    const until = performance.now() + settings.failedPartitionMilliseconds;
    this.#failedUntil.set(partition, until);
  }

  /** Drops a partition whose journal ended. */
  end(partition: number, epoch: number, end: JournalEnd): void {
    const owned = this.#owned.get(partition);
    const isServed = owned?.writer.epoch === epoch;
    if (isServed) {
      this.#owned.delete(partition);
      this.#lastEnded.set(partition, owned.writer);
    }
    this.#count(partition, epoch, end);
    if (isServed) owned.state.stop();
    this.#options.metrics.gauge('partition.owned', this.#owned.size);
    this.#options.onEnd(partition, end);
  }

  #count(partition: number, epoch: number, end: JournalEnd): void {
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
        this.fail(partition, end.error.detail);
        break;
      case 'assertion-failed':
        metrics.increment('partition.assertion-failures');
        this.fail(partition, end.detail);
        this.#failedUntil.set(partition, Infinity);
        break;
      // no default
    }
  }
}

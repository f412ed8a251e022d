import type { Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreError } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { AppendBatch } from './appendQueue';
import type { BulkAccess } from './bulkText';
import { writeBulk } from './bulkText';
import { deleteTexts } from './deleteTexts';
import type { JournalHead } from './journalHead';
import { listReferences } from './journalHead';
import type { Member } from './member';
import type { BulkReference } from './partitionHead';
import type { JsonValue } from './partitionHandler';
import type { PartitionSettings } from './partitionSettings';
import type { WriteRateLimiter } from './writeRateLimiter';

/**
 * Limits the segments of a head to this multiple of `segmentsBeforeSnapshot`, however large the
 * last snapshot is.
 */
const MAXIMUM_SEGMENTS_FACTOR = 8;

/** Options of a {@link HeadComposer}. */
export interface HeadComposerOptions {
  readonly partition: number;
  readonly epoch: number;
  readonly store: KeyValueStore;
  readonly writeRateLimiter: WriteRateLimiter;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  /** Returns the state that results from all committed records. */
  snapshot(): JsonValue;
}

/** Changes from the last head to the next one. */
export interface HeadChange {
  readonly batch: AppendBatch;
  readonly witnesses: readonly Member[];
  readonly handedOver: boolean;
  /** Whether the state may contain uncommitted records, so that no snapshot may be taken. */
  readonly mayContainUncommitted: boolean;
}

/** The next head, and the texts that it no longer refers to. */
export interface ComposedHead {
  readonly head: JournalHead;
  readonly unreferenced: readonly BulkReference[];
}

/**
 * Composes the next head of a journal. Records that exceed the size limit of the head move to an
 * immutable segment, and a snapshot replaces the segments once there are many. Both are written
 * before a head refers to them.
 */
export class HeadComposer {
  readonly #options: HeadComposerOptions;

  readonly #bulkAccess: BulkAccess;

  #sequence = 0;

  constructor(options: HeadComposerOptions) {
    this.#options = options;
    this.#bulkAccess = {
      store: options.store,
      deadlineMilliseconds: options.settings.storeDeadlineMilliseconds,
      beforeWrite: () => options.writeRateLimiter.acquire(options.signal),
    };
  }

  async compose(last: JournalHead, change: HeadChange): Promise<Result<ComposedHead, StoreError>> {
    const base = await this.#compact(last, change);
    if (base.isErr()) return err(base.error);
    const { batch, witnesses, handedOver } = change;
    const next: JournalHead = {
      ...base.value,
      recordCount: last.recordCount + batch.texts.length,
      inlineTexts: [...base.value.inlineTexts, ...batch.texts],
      inlineBytes: base.value.inlineBytes + batch.bytes,
      servedEpoch: this.#options.epoch,
      witnesses,
      handedOver,
    };
    const unreferenced = base.value === last ? [] : listReferences(last);
    const head = await this.#spill(next);
    return head.map((composed) => ({ head: composed, unreferenced }));
  }

  /**
   * Deletes texts that no head refers to. Texts left after a failure are deleted by the next owner.
   */
  async deleteUnreferenced(references: readonly BulkReference[]): Promise<void> {
    const deleted = await deleteTexts(this.#bulkAccess, references);
    this.#options.metrics.increment('journal.deleted-texts', deleted);
  }

  /**
   * Replaces the segments by a snapshot once it is due; returns the head to which records are
   * added.
   */
  async #compact(
    last: JournalHead,
    { mayContainUncommitted }: HeadChange,
  ): Promise<Result<JournalHead, StoreError>> {
    const { settings, metrics, snapshot } = this.#options;
    if (mayContainUncommitted || !HeadComposer.#isSnapshotDue(last, settings)) return ok(last);
    // Lets the state first apply the records whose append has just been resolved.
    await delay(0);
    const text = JSON.stringify(snapshot());
    const written = await writeBulk(this.#bulkAccess, this.#createNextKey('snapshots'), text);
    metrics.increment('journal.snapshots');
    return written.map((reference) => ({
      ...last,
      snapshot: reference,
      segments: [],
      inlineTexts: [],
      inlineBytes: 0,
    }));
  }

  /**
   * Whether there are many segments and their total length reaches that of the last snapshot. The
   * second condition limits how often each record is rewritten, however large the state grows.
   */
  static #isSnapshotDue(
    { segments, snapshot }: JournalHead,
    { segmentsBeforeSnapshot }: PartitionSettings,
  ): boolean {
    const length = segments.reduce((sum, segment) => sum + segment.length, 0);
    const isWorthwhile = length >= (snapshot?.length ?? 0);
    const isFull = segments.length >= segmentsBeforeSnapshot * MAXIMUM_SEGMENTS_FACTOR;
    return isFull || (isWorthwhile && segments.length >= segmentsBeforeSnapshot);
  }

  /** Moves the inline records to a segment if they exceed the size limit of the head. */
  async #spill(head: JournalHead): Promise<Result<JournalHead, StoreError>> {
    const { settings, metrics } = this.#options;
    if (head.inlineBytes <= settings.inlineBytes) return ok(head);
    const text = `[${head.inlineTexts.join(',')}]`;
    const written = await writeBulk(this.#bulkAccess, this.#createNextKey('segments'), text);
    metrics.increment('journal.segments');
    return written.map((segment) => ({
      ...head,
      segments: [...head.segments, segment],
      inlineTexts: [],
      inlineBytes: 0,
    }));
  }

  #createNextKey(keyPrefix: 'segments' | 'snapshots'): string {
    const { partition, epoch } = this.#options;
    this.#sequence += 1;
    return `${keyPrefix}/${partition}/${epoch}-${this.#sequence}`;
  }
}

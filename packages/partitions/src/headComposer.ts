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
import { bulkReferences } from './journalHead';
import type { Member } from './member';
import type { BulkReference } from './partitionHead';
import type { JsonValue } from './partitionHandler';
import type { PartitionSettings } from './partitionSettings';
import type { WriteAllowance } from './writeAllowance';

/** A head refers to this many times the segments at the most, however large the snapshot is. */
const SEGMENTS_GROWTH = 8;

/** Options of a {@link HeadComposer}. */
export interface HeadComposerOptions {
  readonly partition: number;
  readonly epoch: number;
  readonly store: KeyValueStore;
  readonly allowance: WriteAllowance;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  /** Returns the state that stands for all committed records. */
  snapshot(): JsonValue;
}

/** What the next head shall hold besides what the last one does. */
export interface HeadChange {
  readonly batch: AppendBatch;
  readonly witnesses: readonly Member[];
  readonly handedOver: boolean;
  /** Whether the state may hold records that are not committed, so that no snapshot fits. */
  readonly isAhead: boolean;
}

/** The next head, and the texts that it refers to no more. */
export interface ComposedHead {
  readonly head: JournalHead;
  readonly garbage: readonly BulkReference[];
}

/**
 * Makes the next head of a journal. Records that outgrow the head go to an immutable segment,
 * and a snapshot replaces the segments once there are many; both are written before any head
 * refers to them.
 */
export class HeadComposer {
  readonly #options: HeadComposerOptions;

  readonly #bulk: BulkAccess;

  #sequence = 0;

  constructor(options: HeadComposerOptions) {
    this.#options = options;
    this.#bulk = {
      store: options.store,
      deadlineMilliseconds: options.settings.storeDeadlineMilliseconds,
      beforeWrite: () => options.allowance.take(options.signal),
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
    const garbage = base.value === last ? [] : bulkReferences(last);
    const head = await this.#spill(next);
    return head.map((composed) => ({ head: composed, garbage }));
  }

  /** Deletes texts that no head refers to; what a failure leaves over, the next owner deletes. */
  async delete(references: readonly BulkReference[]): Promise<void> {
    const deleted = await deleteTexts(this.#bulk, references);
    this.#options.metrics.increment('journal.deleted-texts', deleted);
  }

  /** Replaces segments by a snapshot once there are many; returns the head to go on from. */
  async #compact(
    last: JournalHead,
    { isAhead }: HeadChange,
  ): Promise<Result<JournalHead, StoreError>> {
    const { settings, metrics, snapshot } = this.#options;
    if (isAhead || !HeadComposer.#isSnapshotDue(last, settings)) return ok(last);
    // Lets the state apply the records whose append was resolved just now.
    await delay(0);
    const text = JSON.stringify(snapshot());
    const written = await writeBulk(this.#bulk, this.#nextKey('snapshots'), text);
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
   * Whether the segments are many, and together as long as the snapshot that they follow: so each
   * record is rewritten a few times only, however large the state grows.
   */
  static #isSnapshotDue(
    { segments, snapshot }: JournalHead,
    { segmentsBeforeSnapshot }: PartitionSettings,
  ): boolean {
    const length = segments.reduce((sum, segment) => sum + segment.length, 0);
    const isWorthwhile = length >= (snapshot?.length ?? 0);
    const isFull = segments.length >= segmentsBeforeSnapshot * SEGMENTS_GROWTH;
    return isFull || (isWorthwhile && segments.length >= segmentsBeforeSnapshot);
  }

  /** Moves the records of a head to a segment where they are too many for it. */
  async #spill(head: JournalHead): Promise<Result<JournalHead, StoreError>> {
    const { settings, metrics } = this.#options;
    if (head.inlineBytes <= settings.inlineBytes) return ok(head);
    const text = `[${head.inlineTexts.join(',')}]`;
    const written = await writeBulk(this.#bulk, this.#nextKey('segments'), text);
    metrics.increment('journal.segments');
    return written.map((segment) => ({
      ...head,
      segments: [...head.segments, segment],
      inlineTexts: [],
      inlineBytes: 0,
    }));
  }

  #nextKey(area: 'segments' | 'snapshots'): string {
    const { partition, epoch } = this.#options;
    this.#sequence += 1;
    return `${area}/${partition}/${epoch}-${this.#sequence}`;
  }
}

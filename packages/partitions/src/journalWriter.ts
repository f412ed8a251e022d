import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreError } from '@limpetnotch/platform';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { Result, ResultAsync } from 'neverthrow';
import { err, errAsync, ok } from 'neverthrow';
import { AppendQueue } from './appendQueue';
import type { BulkAccess } from './bulkText';
import { partKeys, writeBulk } from './bulkText';
import type { EncodedHead, JournalHead } from './journalHead';
import { bytesOf, encodeHead } from './journalHead';
import type { BulkReference, HeadError } from './partitionHead';
import type { Commit, CommitError, JsonValue, PartitionJournal } from './partitionHandler';
import type { PartitionSettings } from './partitionSettings';
import type { SwapOutcome } from './swapHead';
import { swapHead } from './swapHead';
import type { WriteAllowance } from './writeAllowance';

const RETRY_MILLISECONDS = 100;
const RETRY_JITTER_MILLISECONDS = 100;

/** Why a journal takes no more records under its epoch. */
export type JournalEnd =
  | { readonly kind: 'deposed'; readonly newerEpoch: number }
  /** The head cannot be understood. */
  | { readonly kind: 'unreadable'; readonly error: HeadError }
  /** Records were refused that may yet be committed: the state must be read again. */
  | { readonly kind: 'unresolved' }
  /** Something that must not happen did. */
  | { readonly kind: 'assertion-failed'; readonly detail: string }
  /** The owner handed the partition over, or stops. */
  | { readonly kind: 'released' };

/** Keeps records at witnesses while the store is out. */
export interface DeferredKeeper {
  /** Resolves to whether enough witnesses keep all the texts, the oldest first. */
  keep(texts: readonly string[]): Promise<boolean>;
  /** The records that were kept are committed. */
  release(): void;
}

/** Options of a {@link JournalWriter}. */
export interface JournalWriterOptions {
  readonly partition: number;
  readonly store: KeyValueStore;
  /** The head with which this epoch was claimed, and its revision. */
  readonly head: JournalHead;
  readonly revision: number;
  readonly allowance: WriteAllowance;
  readonly settings: PartitionSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly deferred?: DeferredKeeper;
  /** Returns the state that stands for all committed records. */
  snapshot(): JsonValue;
  /** Called once when the journal takes no more records. */
  onEnd(end: JournalEnd): void;
}

/** A write whose outcome decides the next step; tried again as it is until that is known. */
interface PendingWrite {
  readonly head: JournalHead;
  readonly encoded: EncodedHead;
  readonly appends: number;
  /** References that the new head drops. */
  readonly garbage: readonly BulkReference[];
  readonly mayTakeEffect: boolean;
}

/**
 * Journal of one owned partition. All records that wait go into the next write (group commit);
 * one write is under way at a time. Texts outgrow the head into segments, these into a snapshot.
 */
export class JournalWriter implements PartitionJournal {
  readonly #options: JournalWriterOptions;

  readonly #queue: AppendQueue;

  readonly #controller = new AbortController();

  readonly #bulk: BulkAccess;

  #head: JournalHead;

  #revision: number;

  #write: PendingWrite | undefined;

  #bulkSequence = 0;

  #handOver = false;

  #end: JournalEnd | undefined;

  readonly #ended = new Deferred();

  constructor(options: JournalWriterOptions) {
    this.#options = options;
    this.#head = options.head;
    this.#revision = options.revision;
    this.#queue = new AppendQueue(options.settings.commitDeadlineMilliseconds);
    this.#bulk = {
      store: options.store,
      deadlineMilliseconds: options.settings.storeDeadlineMilliseconds,
      beforeWrite: () => options.allowance.take(this.#controller.signal),
    };
  }

  get partition(): number {
    return this.#options.partition;
  }

  get epoch(): number {
    return this.#options.head.epoch;
  }

  /** The head as last committed. */
  get head(): JournalHead {
    return this.#head;
  }

  append(records: readonly JsonValue[]): ResultAsync<Commit, CommitError> {
    if (this.#end || this.#handOver) return errAsync(this.#refusal());
    const { appendBytes, waitingBytes } = this.#options.settings;
    const texts = records.map((record) => JSON.stringify(record));
    const bytes = bytesOf(texts);
    if (bytes > appendBytes) {
      const detail = `an append of ${bytes} bytes exceeds ${appendBytes}`;
      return errAsync({ kind: 'unavailable', detail });
    }
    if (this.#queue.bytes > 0 && this.#queue.bytes + bytes > waitingBytes) {
      const detail = `${this.#queue.bytes} bytes wait for the store already`;
      return errAsync({ kind: 'unavailable', detail });
    }
    return this.#queue.add(texts, bytes);
  }

  /** Commits until the journal ends. */
  async run(): Promise<void> {
    const { signal } = this.#controller;
    while (!signal.aborted) {
      await this.#queue.waitForWork(signal);
      await this.#options.allowance.take(signal);
      if (signal.aborted) return;
      const isCommitted = await this.#commit();
      if (!isCommitted && !signal.aborted) await this.#standIn();
    }
  }

  /** Commits what waits and gives the partition up; resolves to whether that is certain. */
  async handOver(): Promise<boolean> {
    this.#handOver = true;
    this.#queue.requestWrite();
    await this.#ended.promise;
    return this.#head.handedOver;
  }

  /** Ends the journal: every append that waits is answered, no write follows. */
  stop(end: JournalEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.#controller.abort();
    this.#queue.refuseAll(this.#refusal());
    this.#ended.resolve(undefined);
    this.#options.onEnd(end);
  }

  /** Makes and writes the next head, or tries the pending one again; resolves to its success. */
  async #commit(): Promise<boolean> {
    const composed = this.#write ? ok(this.#write) : await this.#compose();
    if (composed.isErr()) {
      this.#countFailure(composed.error);
      return false;
    }
    const write = composed.value;
    this.#write = write;
    if (this.#controller.signal.aborted) return false;
    const outcome = await swapHead({
      store: this.#options.store,
      partition: this.partition,
      expectedRevision: this.#revision,
      head: write.encoded,
      deadlineMilliseconds: this.#options.settings.storeDeadlineMilliseconds,
      onUnknownOutcome: () => this.#options.metrics.increment('journal.unknown-outcomes'),
    });
    if (this.#end) return false;
    this.#settle(write, outcome);
    return outcome.kind === 'committed';
  }

  #settle(write: PendingWrite, outcome: SwapOutcome): void {
    switch (outcome.kind) {
      case 'committed':
        this.#committed(write, outcome.revision);
        break;
      case 'conflict':
        this.#conflicted(outcome.epoch);
        break;
      case 'unreadable':
        this.stop({ kind: 'unreadable', error: outcome.error });
        break;
      case 'failed':
        this.#countFailure(outcome.error);
        if (!write.mayTakeEffect) this.#write = undefined;
        break;
      case 'unknown':
        this.#countFailure(outcome.error);
        this.#write = { ...write, mayTakeEffect: true };
        break;
      // no default
    }
  }

  #committed(write: PendingWrite, revision: number): void {
    const { metrics, deferred } = this.#options;
    if (revision <= this.#revision) {
      const detail = `revision ${revision} after ${this.#revision}`;
      this.stop({ kind: 'assertion-failed', detail });
      return;
    }
    metrics.increment('journal.commits');
    metrics.increment('journal.records', write.head.recordCount - this.#head.recordCount);
    this.#head = write.head;
    this.#revision = revision;
    this.#write = undefined;
    const { hadDeferred } = this.#queue.settleFirst(write.appends);
    if (hadDeferred) deferred?.release();
    void this.#deleteAll(write.garbage);
    if (write.head.handedOver) this.stop({ kind: 'released' });
  }

  #conflicted(epoch: number): void {
    if (epoch > this.epoch) {
      this.stop({ kind: 'deposed', newerEpoch: epoch });
      return;
    }
    const detail = `another commit of epoch ${epoch} stands in the head of epoch ${this.epoch}`;
    this.stop({ kind: 'assertion-failed', detail });
  }

  async #compose(): Promise<Result<PendingWrite, StoreError>> {
    const base = await this.#compact();
    if (base.isErr()) return err(base.error);
    const batch = this.#queue.batch();
    const garbage = base.value === this.#head ? [] : this.#bulkReferences(this.#head);
    const next = await this.#extend(base.value, batch.texts, batch.bytes);
    return next.map((head) => ({
      head,
      encoded: encodeHead(head),
      appends: batch.appends,
      garbage,
      mayTakeEffect: false,
    }));
  }

  /** Replaces segments by a snapshot once there are many; returns the head to go on from. */
  async #compact(): Promise<Result<JournalHead, StoreError>> {
    const { settings, metrics } = this.#options;
    const isDue = this.#head.segments.length >= settings.segmentsBeforeSnapshot;
    if (!isDue || this.#queue.hasDeferred()) return ok(this.#head);
    // Lets the state apply the records whose append was resolved just now.
    await delay(0);
    const text = JSON.stringify(this.#options.snapshot());
    const written = await writeBulk(this.#bulk, this.#nextKey('snapshots'), text);
    metrics.increment('journal.snapshots');
    return written.map((snapshot) => ({
      ...this.#head,
      snapshot,
      segments: [],
      inlineTexts: [],
      inlineBytes: 0,
    }));
  }

  async #extend(
    base: JournalHead,
    texts: readonly string[],
    bytes: number,
  ): Promise<Result<JournalHead, StoreError>> {
    const inlineTexts = [...base.inlineTexts, ...texts];
    const inlineBytes = base.inlineBytes + bytes;
    const recordCount = base.recordCount + texts.length;
    const next = { ...base, recordCount, handedOver: this.#handOver };
    if (inlineBytes <= this.#options.settings.inlineBytes) {
      return ok({ ...next, inlineTexts, inlineBytes });
    }
    const text = `[${inlineTexts.join(',')}]`;
    const written = await writeBulk(this.#bulk, this.#nextKey('segments'), text);
    this.#options.metrics.increment('journal.segments');
    return written.map((segment) => ({
      ...next,
      segments: [...base.segments, segment],
      inlineTexts: [],
      inlineBytes: 0,
    }));
  }

  /** Has the witnesses keep what waits, and refuses what waited too long. */
  async #standIn(): Promise<void> {
    const { deferred, metrics } = this.#options;
    const waiting = this.#queue.batch();
    const isKept = !this.#handOver && (await deferred?.keep(waiting.texts));
    if (this.#end) return;
    if (isKept) {
      this.#queue.acknowledgeDeferred(waiting.appends);
      metrics.increment('journal.deferred-records', waiting.texts.length);
    }
    const pending = this.#write ? this.#write.appends : 0;
    const { refused, refusedPending } = this.#queue.refuseExpired(pending);
    metrics.increment('journal.refused-appends', refused);
    if (refusedPending) {
      this.stop({ kind: 'unresolved' });
      return;
    }
    const wait = RETRY_MILLISECONDS + RETRY_JITTER_MILLISECONDS * Math.random();
    await delay(wait, this.#controller.signal);
  }

  /** Deletes texts that no head refers to any more; what is left over, the next owner deletes. */
  async #deleteAll(references: readonly BulkReference[]): Promise<void> {
    const { store, metrics } = this.#options;
    for (const key of references.flatMap(partKeys)) {
      const entry = await store.read(key);
      if (entry.isErr()) return;
      const removed = entry.value && (await store.remove(key, entry.value.revision));
      if (removed?.isErr()) return;
      metrics.increment('journal.deleted-texts');
    }
  }

  #bulkReferences({ snapshot, segments }: JournalHead): readonly BulkReference[] {
    return snapshot ? [snapshot, ...segments] : segments;
  }

  #nextKey(area: 'segments' | 'snapshots'): string {
    this.#bulkSequence += 1;
    return `${area}/${this.partition}/${this.epoch}-${this.#bulkSequence}`;
  }

  #countFailure({ kind }: StoreError): void {
    this.#options.metrics.increment('journal.store-failures', 1, { kind });
  }

  #refusal(): CommitError {
    const kind = this.#end?.kind ?? 'released';
    if (kind === 'unresolved') {
      return { kind: 'unavailable', detail: 'the store does not tell whether it took the records' };
    }
    return { kind: 'deposed' };
  }
}

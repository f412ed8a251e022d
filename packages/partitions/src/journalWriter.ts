import type { Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreError } from '@limpetnotch/store';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { ResultAsync } from 'neverthrow';
import { errAsync } from 'neverthrow';
import { AppendQueue } from './appendQueue';
import type { ComposedHead } from './headComposer';
import { HeadComposer } from './headComposer';
import type { EncodedHead, JournalHead } from './journalHead';
import { computeByteLength, encodeHead } from './journalHead';
import type { Member } from './member';
import type { DeferredReplicator, GuardedJournal } from './outageGuard';
import type { HeadError } from './partitionHead';
import type { Commit, CommitError, JsonValue, PartitionJournal } from './partitionHandler';
import type { PartitionSettings } from './partitionSettings';
import type { SwapOutcome } from './swapHead';
import { swapHead } from './swapHead';
import type { WriteRateLimiter } from './writeRateLimiter';

const RETRY_MILLISECONDS = 100;
const RETRY_JITTER_MILLISECONDS = 100;

/** Reason why a journal accepts no more records under its epoch. */
export type JournalEnd =
  | { readonly kind: 'deposed'; readonly newerEpoch: number }
  /** The head in the store cannot be parsed. */
  | { readonly kind: 'unreadable'; readonly error: HeadError }
  /** Records were refused whose write may still take effect, so the state must be read again. */
  | { readonly kind: 'unresolved' }
  /** An invariant of the journal was violated. */
  | { readonly kind: 'assertion-failed'; readonly detail: string }
  /** The owner handed the partition over, or is stopping. */
  | { readonly kind: 'released' };

/** Records that an epoch acknowledged as deferred but did not commit. */
export interface UncommittedRecords {
  /** Number of the first record, counted over the whole journal. */
  readonly firstRecordNumber: number;
  readonly texts: readonly string[];
}

/** Options of a {@link JournalWriter}. */
export interface JournalWriterOptions {
  readonly partition: number;
  readonly store: KeyValueStore;
  /** Head with which this epoch was claimed. */
  readonly head: JournalHead;
  /** Store revision of that head. */
  readonly revision: number;
  /** Witnesses to be written with the next head. */
  readonly witnesses: readonly Member[];
  readonly writeRateLimiter: WriteRateLimiter;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  readonly deferredReplicator: DeferredReplicator;
  /** Whether this owner may still act, by its lease or by a promise of the witnesses. */
  mayAct(): boolean;
  /** Returns the state that results from all committed records. */
  snapshot(): JsonValue;
  /** Called once, when the journal accepts no more records. */
  onEnd(end: JournalEnd): void;
}

/** Write in progress; it is retried unchanged for as long as its outcome is unknown. */
interface PendingWrite extends ComposedHead {
  readonly encoded: EncodedHead;
  readonly appendCount: number;
  readonly mayTakeEffect: boolean;
}

/**
 * Journal of one owned partition. The next write contains all waiting records (group commit), and
 * only one write is in progress at a time. Each write is a compare-and-swap on the revision of the
 * previous one, so the write of a deposed owner fails.
 */
export class JournalWriter implements PartitionJournal {
  readonly #options: JournalWriterOptions;

  readonly #queue: AppendQueue;

  readonly #composer: HeadComposer;

  readonly #controller = new AbortController();

  readonly #ended = new Deferred();

  #head: JournalHead;

  #revision: number;

  #witnesses: readonly Member[];

  #write: PendingWrite | undefined;

  #isHandingOver = false;

  #isVerificationDue = false;

  #end: JournalEnd | undefined;

  #uncommitted: UncommittedRecords = { firstRecordNumber: 0, texts: [] };

  constructor(options: JournalWriterOptions) {
    this.#options = options;
    this.#head = options.head;
    this.#revision = options.revision;
    this.#witnesses = options.witnesses;
    this.#queue = new AppendQueue(options.settings.commitDeadlineMilliseconds);
    const { signal } = this.#controller;
    this.#composer = new HeadComposer({ ...options, epoch: options.head.epoch, signal });
  }

  get partition(): number {
    return this.#options.partition;
  }

  get epoch(): number {
    return this.#options.head.epoch;
  }

  /** The last committed head. */
  get head(): JournalHead {
    return this.#head;
  }

  /** Records that were acknowledged as deferred and still uncommitted when the journal ended. */
  get uncommitted(): UncommittedRecords {
    return this.#uncommitted;
  }

  append(records: readonly JsonValue[]): ResultAsync<Commit, CommitError> {
    if (this.#end || this.#isHandingOver) return errAsync(this.#createRefusalError());
    const { appendBytes, waitingBytes } = this.#options.settings;
    const texts = records.map((record) => JSON.stringify(record));
    const bytes = computeByteLength(texts);
    if (bytes > appendBytes) {
      const detail = `an append of ${bytes} bytes exceeds ${appendBytes}`;
      return errAsync({ kind: 'unavailable', detail });
    }
    if (this.#queue.bytes > 0 && this.#queue.bytes + bytes > waitingBytes) {
      const detail = `${this.#queue.bytes} bytes already wait for the store`;
      return errAsync({ kind: 'unavailable', detail });
    }
    return this.#queue.add(texts, bytes);
  }

  /**
   * Queues records that witnesses kept for the previous owner; must be called before any append.
   */
  enqueueRecovered(texts: readonly string[]): void {
    if (texts.length === 0) return;
    void this.#queue.add(texts, computeByteLength(texts));
    this.#queue.acknowledgeDeferred(1);
  }

  /** Replaces the witnesses; a head is written for this even if no record waits. */
  updateWitnesses(witnesses: readonly Member[]): void {
    const currentIncarnations = new Set(this.#witnesses.map(({ incarnation }) => incarnation));
    const isSame = witnesses.every(({ incarnation }) => currentIncarnations.has(incarnation));
    if (isSame && witnesses.length === currentIncarnations.size) return;
    this.#witnesses = witnesses;
    this.#queue.wake();
  }

  /** Writes a head even if no record waits, to check that this epoch is still the newest. */
  verifyEpoch(): void {
    this.#isVerificationDue = true;
    this.#queue.wake();
  }

  /** Requests an extension of the promise of the witnesses during an outage of the store. */
  async extendPromise(): Promise<void> {
    const { deferredReplicator, metrics } = this.#options;
    const { texts, appendCount } = this.#queue.batch();
    const isReplicated = await deferredReplicator.replicate(this.#toGuardedJournal(), texts);
    if (!isReplicated || this.#end) return;
    const acknowledgedCount = this.#queue.acknowledgeDeferred(appendCount);
    metrics.increment('journal.deferred-appends', acknowledgedCount);
  }

  /** Writes the waiting records until the journal ends. */
  async run(): Promise<void> {
    const { signal } = this.#controller;
    while (!signal.aborted) {
      await this.#queue.waitForWork(signal, () => this.#isWriteDue());
      await this.#options.writeRateLimiter.acquire(signal);
      if (signal.aborted) return;
      const isCommitted = await this.#commit();
      if (!isCommitted && !signal.aborted) await this.#deferOrRefuse();
    }
  }

  /**
   * Commits the waiting records and hands the partition over; resolves to whether both are
   * confirmed.
   */
  async handOver(): Promise<boolean> {
    this.#isHandingOver = true;
    this.#queue.wake();
    await this.#ended.promise;
    return this.#head.handedOver;
  }

  /** Ends the journal: refuses all waiting appends and starts no further write. */
  stop(end: JournalEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.#controller.abort();
    this.#uncommitted = {
      firstRecordNumber: this.#head.recordCount,
      texts: this.#queue.deferredTexts(),
    };
    this.#queue.refuseAll(this.#createRefusalError());
    this.#ended.resolve(undefined);
    this.#options.onEnd(end);
  }

  #toGuardedJournal(): GuardedJournal {
    const { witnesses, recordCount, servedEpoch } = this.#head;
    const pending = this.#write?.head.witnesses;
    return {
      epoch: this.epoch,
      committedRecords: recordCount,
      witnessLists: pending && pending !== witnesses ? [witnesses, pending] : [witnesses],
      isServing: servedEpoch === this.epoch,
    };
  }

  #isWriteDue(): boolean {
    const isServing = this.#head.servedEpoch === this.epoch;
    const hasCurrentWitnesses = this.#head.witnesses === this.#witnesses;
    return this.#isHandingOver || this.#isVerificationDue || !isServing || !hasCurrentWitnesses;
  }

  /** Writes the next head, or retries the pending write; resolves to whether it was committed. */
  async #commit(): Promise<boolean> {
    const { store, settings, metrics } = this.#options;
    const write = this.#write ?? (await this.#compose());
    if (!write || this.#end) return false;
    this.#write = write;
    const outcome = await swapHead({
      store,
      partition: this.partition,
      expectedRevision: this.#revision,
      head: write.encoded,
      deadlineMilliseconds: settings.storeDeadlineMilliseconds,
      onUnknownOutcome: () => metrics.increment('journal.unknown-outcomes'),
    });
    if (this.#end) return false;
    this.#handleOutcome(write, outcome);
    return outcome.kind === 'committed';
  }

  async #compose(): Promise<PendingWrite | undefined> {
    const batch = this.#queue.batch();
    const composed = await this.#composer.compose(this.#head, {
      batch,
      witnesses: this.#witnesses,
      handedOver: this.#isHandingOver,
      mayContainUncommitted: this.#queue.hasDeferred(),
    });
    if (composed.isErr()) {
      this.#countFailure(composed.error);
      return undefined;
    }
    const encoded = encodeHead(composed.value.head);
    return { ...composed.value, encoded, appendCount: batch.appendCount, mayTakeEffect: false };
  }

  #handleOutcome(write: PendingWrite, outcome: SwapOutcome): void {
    switch (outcome.kind) {
      case 'committed':
        this.#applyCommit(write, outcome.revision);
        break;
      case 'conflict':
        this.#handleConflict(outcome.epoch);
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

  #applyCommit(write: PendingWrite, revision: number): void {
    const { metrics, deferredReplicator } = this.#options;
    if (revision <= this.#revision) {
      const detail = `the store returned revision ${revision} after revision ${this.#revision}`;
      this.stop({ kind: 'assertion-failed', detail });
      return;
    }
    metrics.increment('journal.commits');
    metrics.increment('journal.records', write.head.recordCount - this.#head.recordCount);
    this.#head = write.head;
    this.#revision = revision;
    this.#write = undefined;
    this.#isVerificationDue = false;
    const { hadDeferred } = this.#queue.settleFirst(write.appendCount);
    if (hadDeferred) deferredReplicator.release(this.#toGuardedJournal());
    if (write.unreferenced.length > 0) void this.#composer.deleteUnreferenced(write.unreferenced);
    if (write.head.handedOver) this.stop({ kind: 'released' });
  }

  #handleConflict(epoch: number): void {
    if (epoch > this.epoch) {
      this.stop({ kind: 'deposed', newerEpoch: epoch });
      return;
    }
    const detail = `another commit of epoch ${epoch} was found in the head of epoch ${this.epoch}`;
    this.stop({ kind: 'assertion-failed', detail });
  }

  /**
   * Replicates the waiting records to the witnesses and refuses the expired ones. If this owner may
   * no longer act, it refuses all that are not in the pending write, without waiting for their
   * deadline.
   */
  async #deferOrRefuse(): Promise<void> {
    if (this.#queue.hasUnanswered()) await this.extendPromise();
    if (this.#end) return;
    const { mayAct } = this.#options;
    const pendingCount = this.#write ? this.#write.appendCount : 0;
    const { refusedCount, hasRefusedPending } = this.#queue.refuseExpired(pendingCount, !mayAct());
    this.#options.metrics.increment('journal.refused-appends', refusedCount);
    if (hasRefusedPending) {
      this.stop({ kind: 'unresolved' });
      return;
    }
    const wait = RETRY_MILLISECONDS + RETRY_JITTER_MILLISECONDS * Math.random();
    await delay(wait, this.#controller.signal);
  }

  #countFailure({ kind }: StoreError): void {
    this.#options.metrics.increment('journal.store-failures', 1, { kind });
  }

  #createRefusalError(): CommitError {
    if (this.#end?.kind !== 'unresolved') return { kind: 'deposed' };
    return { kind: 'unavailable', detail: 'it is unknown whether the store committed the records' };
  }
}

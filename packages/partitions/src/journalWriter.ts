import type { Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreError } from '@limpetnotch/store';
import { Deferred, delay } from '@limpetnotch/supervision';
import type { ResultAsync } from 'neverthrow';
import { errAsync } from 'neverthrow';
import { AppendQueue } from './appendQueue';
import type { ComposedHead } from './headComposer';
import { HeadComposer } from './headComposer';
import type { EncodedHead, JournalHead } from './journalHead';
import { bytesOf, encodeHead } from './journalHead';
import type { Member } from './member';
import type { DeferredKeeper, GuardedJournal } from './outageGuard';
import type { HeadError } from './partitionHead';
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

/** Records that an epoch acknowledged and left uncommitted. */
export interface LeftOverRecords {
  /** Number of the first one, counted over the whole journal. */
  readonly first: number;
  readonly texts: readonly string[];
}

/** Options of a {@link JournalWriter}. */
export interface JournalWriterOptions {
  readonly partition: number;
  readonly store: KeyValueStore;
  /** The head with which this epoch was claimed, and its revision. */
  readonly head: JournalHead;
  readonly revision: number;
  /** Witnesses that the next head shall name. */
  readonly witnesses: readonly Member[];
  readonly allowance: WriteAllowance;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  readonly deferred: DeferredKeeper;
  /** Whether this owner may still act: by its lease, or by the promise of the witnesses. */
  mayAct(): boolean;
  /** Returns the state that stands for all committed records. */
  snapshot(): JsonValue;
  /** Called once when the journal takes no more records. */
  onEnd(end: JournalEnd): void;
}

/** A write whose outcome decides the next step; tried again as it is until that is known. */
interface PendingWrite extends ComposedHead {
  readonly encoded: EncodedHead;
  readonly appends: number;
  readonly mayTakeEffect: boolean;
}

/**
 * Journal of one owned partition. All records that wait go into the next write (group commit),
 * and one write is under way at a time. Each write is a compare-and-swap on the revision of the
 * last one, so a deposed owner's write fails.
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

  #handOver = false;

  #isVerificationDue = false;

  #end: JournalEnd | undefined;

  #leftOver: LeftOverRecords = { first: 0, texts: [] };

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

  /** The head as last committed. */
  get head(): JournalHead {
    return this.#head;
  }

  /** Records that were acknowledged as deferred and not committed when the journal ended. */
  get leftOver(): LeftOverRecords {
    return this.#leftOver;
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

  /** Takes over records that witnesses kept for the previous owner; called before any append. */
  adopt(texts: readonly string[]): void {
    if (texts.length === 0) return;
    void this.#queue.add(texts, bytesOf(texts));
    this.#queue.acknowledgeDeferred(1);
  }

  /** Names other witnesses in a head that is written for it. */
  updateWitnesses(witnesses: readonly Member[]): void {
    const wanted = new Set(this.#witnesses.map(({ incarnation }) => incarnation));
    const isSame = witnesses.every(({ incarnation }) => wanted.has(incarnation));
    if (isSame && witnesses.length === wanted.size) return;
    this.#witnesses = witnesses;
    this.#queue.wake();
  }

  /** Has a head written even if no record waits, to learn whether this epoch still stands. */
  verify(): void {
    this.#isVerificationDue = true;
    this.#queue.wake();
  }

  /** Asks the witnesses for some more time during an outage of the store. */
  async extend(): Promise<void> {
    const { deferred, metrics } = this.#options;
    const { texts, appends } = this.#queue.batch();
    const isKept = await deferred.keep(this.#guarded(), texts);
    if (!isKept || this.#end) return;
    const acknowledged = this.#queue.acknowledgeDeferred(appends);
    metrics.increment('journal.deferred-appends', acknowledged);
  }

  /** Commits until the journal ends. */
  async run(): Promise<void> {
    const { signal } = this.#controller;
    while (!signal.aborted) {
      await this.#queue.waitForWork(signal, () => this.#isWriteDue());
      await this.#options.allowance.take(signal);
      if (signal.aborted) return;
      const isCommitted = await this.#commit();
      if (!isCommitted && !signal.aborted) await this.#standIn();
    }
  }

  /** Commits what waits and gives the partition up; resolves to whether that is certain. */
  async handOver(): Promise<boolean> {
    this.#handOver = true;
    this.#queue.wake();
    await this.#ended.promise;
    return this.#head.handedOver;
  }

  /** Ends the journal: every append that waits is answered, no write follows. */
  stop(end: JournalEnd): void {
    if (this.#end) return;
    this.#end = end;
    this.#controller.abort();
    this.#leftOver = { first: this.#head.recordCount, texts: this.#queue.deferredTexts() };
    this.#queue.refuseAll(this.#refusal());
    this.#ended.resolve(undefined);
    this.#options.onEnd(end);
  }

  #guarded(): GuardedJournal {
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
    const isNamed = this.#head.witnesses === this.#witnesses;
    return this.#handOver || this.#isVerificationDue || !isServing || !isNamed;
  }

  /** Makes and writes the next head, or tries the pending one again; resolves to its success. */
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
    this.#settle(write, outcome);
    return outcome.kind === 'committed';
  }

  async #compose(): Promise<PendingWrite | undefined> {
    const batch = this.#queue.batch();
    const composed = await this.#composer.compose(this.#head, {
      batch,
      witnesses: this.#witnesses,
      handedOver: this.#handOver,
      isAhead: this.#queue.hasDeferred(),
    });
    if (composed.isErr()) {
      this.#countFailure(composed.error);
      return undefined;
    }
    const encoded = encodeHead(composed.value.head);
    return { ...composed.value, encoded, appends: batch.appends, mayTakeEffect: false };
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
    this.#isVerificationDue = false;
    const { hadDeferred } = this.#queue.settleFirst(write.appends);
    if (hadDeferred) deferred.release(this.#guarded());
    if (write.garbage.length > 0) void this.#composer.delete(write.garbage);
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

  /**
   * Has the witnesses keep what waits, and refuses what waited too long: at once where this owner
   * may not act any more.
   */
  async #standIn(): Promise<void> {
    if (this.#queue.hasUnanswered()) await this.extend();
    if (this.#end) return;
    const { mayAct } = this.#options;
    const pending = this.#write ? this.#write.appends : 0;
    const { refused, refusedPending } = this.#queue.refuseExpired(pending, !mayAct());
    this.#options.metrics.increment('journal.refused-appends', refused);
    if (refusedPending) {
      this.stop({ kind: 'unresolved' });
      return;
    }
    const wait = RETRY_MILLISECONDS + RETRY_JITTER_MILLISECONDS * Math.random();
    await delay(wait, this.#controller.signal);
  }

  #countFailure({ kind }: StoreError): void {
    this.#options.metrics.increment('journal.store-failures', 1, { kind });
  }

  #refusal(): CommitError {
    if (this.#end?.kind !== 'unresolved') return { kind: 'deposed' };
    return { kind: 'unavailable', detail: 'the store does not tell whether it took the records' };
  }
}

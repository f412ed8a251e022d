import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Commit, CommitError } from './partitionHandler';
import { WakeSignal } from './util/wakeSignal';

/** Records of one call of `append`, waiting for their commit. */
interface WaitingAppend {
  readonly texts: readonly string[];
  readonly bytes: number;
  readonly expiresAt: number;
  readonly outcome: Deferred<Result<Commit, CommitError>>;
}

/** The first appends of the queue, joined. */
export interface AppendBatch {
  readonly texts: readonly string[];
  readonly bytes: number;
  readonly appends: number;
}

/** What {@link AppendQueue.refuseExpired} did. */
export interface Refusal {
  readonly refused: number;
  /** Whether one of them is in a write that may take effect yet. */
  readonly refusedPending: boolean;
}

const UNAVAILABLE: CommitError = {
  kind: 'unavailable',
  detail: 'the store did not take the records in time',
};

/** Appends of one partition in order, until they are committed or refused. */
export class AppendQueue {
  readonly #deadlineMilliseconds: number;

  readonly #wake = new WakeSignal();

  #waiting: WaitingAppend[] = [];

  /** Appends whose callers were told that witnesses keep the records. */
  readonly #deferred = new Set<WaitingAppend>();

  constructor(deadlineMilliseconds: number) {
    this.#deadlineMilliseconds = deadlineMilliseconds;
  }

  add(texts: readonly string[], bytes: number): ResultAsync<Commit, CommitError> {
    const outcome = new Deferred<Result<Commit, CommitError>>();
    const expiresAt = performance.now() + this.#deadlineMilliseconds;
    this.#waiting.push({ texts, bytes, expiresAt, outcome });
    this.#wake.wake();
    return new ResultAsync(outcome.promise);
  }

  /** Has the waiting task look whether there is work. */
  wake(): void {
    this.#wake.wake();
  }

  /** Resolves when an append waits, when a write is due anyhow, or when the signal aborts. */
  async waitForWork(signal: AbortSignal, isWriteDue: () => boolean): Promise<void> {
    while (this.#waiting.length === 0 && !isWriteDue() && !signal.aborted) {
      await this.#wake.wait(signal);
    }
  }

  /** Bytes of all records that wait. */
  get bytes(): number {
    return this.#waiting.reduce((sum, append) => sum + append.bytes, 0);
  }

  /** Joins all that waits. */
  batch(): AppendBatch {
    const texts = this.#waiting.flatMap((append) => append.texts);
    return { texts, bytes: this.bytes, appends: this.#waiting.length };
  }

  /** Whether a caller waits that was told nothing yet. */
  hasUnanswered(): boolean {
    return this.#deferred.size < this.#waiting.length;
  }

  /** Whether callers were told that witnesses keep their records. */
  hasDeferred(): boolean {
    return this.#deferred.size > 0;
  }

  /** Texts of the records whose callers were told that witnesses keep them. */
  deferredTexts(): readonly string[] {
    return this.#waiting.flatMap((append) => (this.#deferred.has(append) ? append.texts : []));
  }

  /** Takes the first appends out as committed. */
  settleFirst(appends: number): { readonly hadDeferred: boolean } {
    const settled = this.#waiting.splice(0, appends);
    settled.forEach(({ outcome }) => outcome.resolve(ok({ durability: 'durable' })));
    const deferred = settled.filter((append) => this.#deferred.delete(append));
    return { hadDeferred: deferred.length > 0 };
  }

  /** Tells the callers of the first appends that witnesses keep the records; counts the new ones. */
  acknowledgeDeferred(appends: number): number {
    const before = this.#deferred.size;
    this.#waiting.slice(0, appends).forEach((append) => {
      this.#deferred.add(append);
      append.outcome.resolve(ok({ durability: 'deferred' }));
    });
    return this.#deferred.size - before;
  }

  /**
   * Refuses what waited too long, or all that may be refused. The first `pending` appends are in
   * a write that may take effect yet: they are given their whole time.
   */
  refuseExpired(pending: number, isHopeless: boolean): Refusal {
    const now = performance.now();
    const inWrite = new Set(this.#waiting.slice(0, pending));
    const isExpired = (append: WaitingAppend): boolean => {
      if (this.#deferred.has(append)) return false;
      return append.expiresAt <= now || (isHopeless && !inWrite.has(append));
    };
    const expired = this.#waiting.filter(isExpired);
    const refusedPending = expired.some((append) => inWrite.has(append));
    this.#waiting = this.#waiting.filter((append) => !isExpired(append));
    expired.forEach(({ outcome }) => outcome.resolve(err(UNAVAILABLE)));
    return { refused: expired.length, refusedPending };
  }

  /** Answers all that waits with one error. */
  refuseAll(error: CommitError): void {
    this.#waiting.splice(0).forEach(({ outcome }) => outcome.resolve(err(error)));
  }
}

import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';
import type { Commit, CommitError } from './partitionHandler';
import { WakeSignal } from './util/wakeSignal';

/** Records of one call of `append` that wait for their commit. */
interface WaitingAppend {
  readonly texts: readonly string[];
  readonly bytes: number;
  readonly expiresAt: number;
  readonly outcome: Deferred<Result<Commit, CommitError>>;
}

/** Records of the first appends of the queue. */
export interface AppendBatch {
  readonly texts: readonly string[];
  readonly bytes: number;
  readonly appendCount: number;
}

/** Result of {@link AppendQueue.refuseExpired}. */
export interface RefusalSummary {
  readonly refusedCount: number;
  /** Whether one of the refused appends belongs to a write that may still take effect. */
  readonly hasRefusedPending: boolean;
}

const UNAVAILABLE: CommitError = {
  kind: 'unavailable',
  detail: 'the store did not commit the records in time',
};

/**
 * FIFO queue of the appends of one partition, which leave it when they are committed or refused.
 */
export class AppendQueue {
  readonly #deadlineMilliseconds: number;

  readonly #wakeSignal = new WakeSignal();

  #waiting: WaitingAppend[] = [];

  /** Appends that were acknowledged to their callers as stored by witnesses. */
  readonly #deferred = new Set<WaitingAppend>();

  constructor(deadlineMilliseconds: number) {
    this.#deadlineMilliseconds = deadlineMilliseconds;
  }

  add(texts: readonly string[], bytes: number): ResultAsync<Commit, CommitError> {
    const outcome = new Deferred<Result<Commit, CommitError>>();
    const expiresAt = performance.now() + this.#deadlineMilliseconds;
    this.#waiting.push({ texts, bytes, expiresAt, outcome });
    this.#wakeSignal.wake();
    return new ResultAsync(outcome.promise);
  }

  /** Wakes the task in {@link waitForWork}, so that it checks for work again. */
  wake(): void {
    this.#wakeSignal.wake();
  }

  /** Resolves when an append waits, when a write is due regardless, or when the signal aborts. */
  async waitForWork(signal: AbortSignal, isWriteDue: () => boolean): Promise<void> {
    while (this.#waiting.length === 0 && !isWriteDue() && !signal.aborted) {
      await this.#wakeSignal.wait(signal);
    }
  }

  /** Total size of the waiting records, in bytes. */
  get bytes(): number {
    return this.#waiting.reduce((sum, append) => sum + append.bytes, 0);
  }

  /** Returns the records of all waiting appends as one batch. */
  batch(): AppendBatch {
    const texts = this.#waiting.flatMap((append) => append.texts);
    return { texts, bytes: this.bytes, appendCount: this.#waiting.length };
  }

  /** Whether an append waits that was not acknowledged as deferred. */
  hasUnanswered(): boolean {
    return this.#deferred.size < this.#waiting.length;
  }

  /** Whether an append waits that was acknowledged as deferred. */
  hasDeferred(): boolean {
    return this.#deferred.size > 0;
  }

  /** Returns the texts of the records that were acknowledged as deferred. */
  deferredTexts(): readonly string[] {
    return this.#waiting.flatMap((append) => (this.#deferred.has(append) ? append.texts : []));
  }

  /** Removes the first appends and resolves them as committed. */
  settleFirst(appendCount: number): { readonly hadDeferred: boolean } {
    const settled = this.#waiting.splice(0, appendCount);
    settled.forEach(({ outcome }) => outcome.resolve(ok({ durability: 'durable' })));
    const deferred = settled.filter((append) => this.#deferred.delete(append));
    return { hadDeferred: deferred.length > 0 };
  }

  /** Resolves the first appends as deferred; returns how many were not resolved so before. */
  acknowledgeDeferred(appendCount: number): number {
    const previousSize = this.#deferred.size;
    this.#waiting.slice(0, appendCount).forEach((append) => {
      this.#deferred.add(append);
      append.outcome.resolve(ok({ durability: 'deferred' }));
    });
    return this.#deferred.size - previousSize;
  }

  /**
   * Refuses the appends whose deadline has passed, or with `ignoresDeadline` all that are not in a
   * write. The first `pendingCount` appends belong to a write that may still take effect, so they
   * keep their full deadline. Deferred appends are never refused.
   */
  refuseExpired(pendingCount: number, ignoresDeadline: boolean): RefusalSummary {
    const now = performance.now();
    const inWrite = new Set(this.#waiting.slice(0, pendingCount));
    const isExpired = (append: WaitingAppend): boolean => {
      if (this.#deferred.has(append)) return false;
      return append.expiresAt <= now || (ignoresDeadline && !inWrite.has(append));
    };
    const expired = this.#waiting.filter(isExpired);
    const hasRefusedPending = expired.some((append) => inWrite.has(append));
    this.#waiting = this.#waiting.filter((append) => !isExpired(append));
    expired.forEach(({ outcome }) => outcome.resolve(err(UNAVAILABLE)));
    return { refusedCount: expired.length, hasRefusedPending };
  }

  /** Refuses all waiting appends with the given error. */
  refuseAll(error: CommitError): void {
    this.#waiting.splice(0).forEach(({ outcome }) => outcome.resolve(err(error)));
  }
}

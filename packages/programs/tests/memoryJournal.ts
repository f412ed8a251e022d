import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { Journal, JournalCommit, JournalError, ProgramRecord } from '../src';

/** What the store does with the next appends. */
export type JournalMode =
  | 'durable'
  | 'deferred'
  | 'unavailable'
  /** Takes the records and loses the answer for good. */
  | 'taken-unavailable'
  | 'slow';

/** Records that outlive the owners; what a snapshot replaced is gone. */
export class MemoryStore {
  epoch = 0;

  mode: JournalMode = 'durable';

  snapshot: unknown = undefined;

  records: ProgramRecord[] = [];

  /** Appends that wait while the mode is `slow`. */
  waiting: (() => void)[] = [];

  appends = 0;

  /** Largest append that is taken, in bytes of JSON. */
  maximumAppendBytes = Number.POSITIVE_INFINITY;

  /** Returns the journal of a new owner; all older ones are deposed. */
  claim(): Journal {
    this.epoch += 1;
    const { epoch } = this;
    return { partition: 3, epoch, append: (records) => this.#append(epoch, records) };
  }

  /** Lets slow appends go on. */
  release(): void {
    const { waiting } = this;
    this.waiting = [];
    waiting.forEach((resume) => {
      resume();
    });
  }

  /** Puts a snapshot in place of the records, in the form that the store keeps. */
  compact(snapshot: unknown): void {
    this.snapshot = JSON.parse(JSON.stringify(snapshot));
    this.records = [];
  }

  #append(
    epoch: number,
    records: readonly ProgramRecord[],
  ): ResultAsync<JournalCommit, JournalError> {
    this.appends += 1;
    if (this.mode !== 'slow') return this.#write(epoch, records);
    const resumed = new Promise<void>((resolve) => {
      this.waiting.push(resolve);
    });
    return ResultAsync.fromSafePromise(resumed).andThen(() => this.#write(epoch, records));
  }

  #write(
    epoch: number,
    records: readonly ProgramRecord[],
  ): ResultAsync<JournalCommit, JournalError> {
    if (epoch !== this.epoch) return errAsync({ kind: 'deposed' });
    if (JSON.stringify(records).length > this.maximumAppendBytes) {
      return errAsync({ kind: 'unavailable', detail: 'too large' });
    }
    if (this.mode === 'unavailable') return errAsync({ kind: 'unavailable', detail: 'store out' });
    this.records.push(...(JSON.parse(JSON.stringify(records)) as ProgramRecord[]));
    if (this.mode === 'taken-unavailable') {
      return errAsync({ kind: 'unavailable', detail: 'answer lost' });
    }
    return okAsync({ durability: this.mode === 'deferred' ? 'deferred' : 'durable' });
  }
}

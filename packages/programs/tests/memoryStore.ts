import { errAsync, okAsync, ResultAsync } from 'neverthrow';
import type { Journal, JournalCommit, JournalError, ProgramRecord } from '../src';

/** How the store handles the next appends. */
export type JournalMode =
  | 'durable'
  | 'deferred'
  | 'unavailable'
  /** Stores the records, but the response is lost. */
  | 'taken-unavailable'
  | 'slow';

/** In-memory store that outlives the owners; a snapshot replaces the records before it. */
export class MemoryStore {
  epoch = 0;

  mode: JournalMode = 'durable';

  snapshot: unknown = undefined;

  records: ProgramRecord[] = [];

  /** Callbacks that resume the appends which wait while the mode is `slow`. */
  waitingAppends: (() => void)[] = [];

  appendCount = 0;

  /** Largest append that is accepted, in bytes of JSON. */
  maximumAppendBytes = Number.POSITIVE_INFINITY;

  /** Returns the journal of a new owner; all earlier owners are deposed. */
  claim(): Journal {
    this.epoch += 1;
    const { epoch } = this;
    return { partition: 3, epoch, append: (records) => this.#append(epoch, records) };
  }

  /** Resumes waiting appends. */
  release(): void {
    const { waitingAppends: waiting } = this;
    this.waitingAppends = [];
    waiting.forEach((resume) => {
      resume();
    });
  }

  /** Replaces the records with a snapshot, serialised as in the store. */
  compact(snapshot: unknown): void {
    this.snapshot = JSON.parse(JSON.stringify(snapshot));
    this.records = [];
  }

  #append(
    epoch: number,
    records: readonly ProgramRecord[],
  ): ResultAsync<JournalCommit, JournalError> {
    this.appendCount += 1;
    if (this.mode !== 'slow') return this.#write(epoch, records);
    const resumed = new Promise<void>((resolve) => {
      this.waitingAppends.push(resolve);
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

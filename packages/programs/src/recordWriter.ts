import { err, ok, ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { Journal, JournalCommit, JournalError } from './journal';
import type { LedgerAssertions } from './ledgerAssertions';
import type { ProgramIdentifier, ProgramRecord } from './programRecord';
import type { ProgramTable } from './programTable';
import { splitRecords } from './splitRecords';
import { programKey } from './util/programKey';

/** Options of a {@link RecordWriter}. */
export interface RecordWriterOptions {
  readonly journal: Journal;
  readonly table: ProgramTable;
  readonly assertions: LedgerAssertions;
  /** Largest append that the journal accepts, in bytes; larger ones are split into parts. */
  readonly maximumAppendBytes: number;
  /** Called with the records of each commit. */
  readonly onCommit: (records: readonly ProgramRecord[]) => void;
}

/** Result of an append that was split into parts. */
interface SplitAppendResult {
  /** Number of records committed, counted from the first. */
  readonly committedCount: number;
  readonly result: Result<JournalCommit, JournalError>;
}

/**
 * Applies records to the table and appends them to the journal, one append at a time per program.
 * Facts, such as outcomes, that the journal did not accept stay queued for the program's next
 * append; intents are not queued. A snapshot of the table covers at least the records sent to the
 * journal.
 */
export class RecordWriter {
  readonly #options: RecordWriterOptions;

  readonly #queued = new Map<string, readonly ProgramRecord[]>();

  /** Pending appends by program key; the promises never reject. */
  readonly #pendingAppends = new Map<string, Promise<unknown>>();

  constructor(options: RecordWriterOptions) {
    this.#options = options;
  }

  /** Returns whether a program has facts that are not committed yet. */
  hasUncommitted(program: ProgramIdentifier): boolean {
    const key = programKey(program);
    return this.#queued.has(key) || this.#pendingAppends.has(key);
  }

  /**
   * Returns the pending append of a program; it never rejects. Callers must check again after
   * waiting for it, because another append may have started.
   */
  getPendingAppend(program: ProgramIdentifier): Promise<unknown> | undefined {
    return this.#pendingAppends.get(programKey(program));
  }

  /** Applies facts and queues them for the program's next append. */
  enqueue(program: ProgramIdentifier, records: readonly ProgramRecord[]): void {
    this.#apply(records);
    const key = programKey(program);
    this.#queued.set(key, [...(this.#queued.get(key) ?? []), ...records]);
  }

  /** Appends the queued records of a program; on success, all its facts so far are committed. */
  flush(program: ProgramIdentifier): ResultAsync<JournalCommit, JournalError> {
    return new ResultAsync(this.#flush(programKey(program)));
  }

  /** Appends the queued records of all programs. */
  flushAll(): Promise<readonly Result<JournalCommit, JournalError>[]> {
    return Promise.all([...this.#queued.keys()].map((key) => this.#flush(key)));
  }

  /**
   * Applies intents and appends them after the queued records; `withdraw` reverts them on an error.
   * No other append of the program may be pending.
   */
  append(
    program: ProgramIdentifier,
    intents: readonly ProgramRecord[],
    withdraw: () => void,
  ): Promise<Result<JournalCommit, JournalError>> {
    const key = programKey(program);
    this.#options.assertions.check(!this.#pendingAppends.has(key), 'one-append-a-program');
    this.#apply(intents);
    return this.#append(key, intents, withdraw);
  }

  async #flush(key: string): Promise<Result<JournalCommit, JournalError>> {
    while (this.#pendingAppends.has(key)) await this.#pendingAppends.get(key);
    return this.#append(key, [], () => undefined);
  }

  #apply(records: readonly ProgramRecord[]): void {
    const { table, assertions } = this.#options;
    records.forEach((record) => {
      const applied = table.apply(record);
      assertions.check(applied.isOk(), 'record-follows', {
        detail: applied.isErr() ? applied.error : undefined,
      });
    });
  }

  async #append(
    key: string,
    intents: readonly ProgramRecord[],
    withdraw: () => void,
  ): Promise<Result<JournalCommit, JournalError>> {
    const { assertions } = this.#options;
    if (assertions.hasFailed) {
      withdraw();
      return err({
        kind: 'unavailable',
        detail: 'the partition stopped because an invariant failed',
      });
    }
    const queued = this.#queued.get(key) ?? [];
    const records = [...queued, ...intents];
    if (records.length === 0) return ok({ durability: 'durable' });
    this.#queued.delete(key);
    const pendingAppend = this.#appendParts(records);
    this.#pendingAppends.set(key, pendingAppend);
    const { committedCount, result } = await pendingAppend;
    // The rest runs synchronously, so that it is done before other waiters of the append resume.
    this.#pendingAppends.delete(key);
    if (result.isOk()) return result;
    withdraw();
    this.#requeue(key, queued.slice(committedCount));
    return result;
  }

  /**
   * Appends records in as many parts as their size requires; stops at the first part that fails.
   */
  async #appendParts(records: readonly ProgramRecord[]): Promise<SplitAppendResult> {
    const { journal, maximumAppendBytes, onCommit } = this.#options;
    let durability: JournalCommit['durability'] = 'durable';
    let committedCount = 0;
    for (const part of splitRecords(records, maximumAppendBytes)) {
      const result = await journal.append(part);
      if (result.isErr()) return { committedCount, result };
      onCommit(part);
      committedCount += part.length;
      if (result.value.durability === 'deferred') durability = 'deferred';
    }
    return { committedCount, result: ok({ durability }) };
  }

  #requeue(key: string, records: readonly ProgramRecord[]): void {
    const all = [...records, ...(this.#queued.get(key) ?? [])];
    if (all.length > 0) this.#queued.set(key, all);
  }
}

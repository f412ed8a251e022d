import { errAsync, okAsync } from 'neverthrow';
import type { ResultAsync } from 'neverthrow';
import type { Journal, JournalCommit, JournalError } from './journal';
import type { LedgerAssertions } from './ledgerAssertions';
import type { ProgramIdentifier, ProgramRecord } from './programRecord';
import type { ProgramTable } from './programTable';
import { programKey } from './util/programKey';

/** Options of a {@link RecordWriter}. */
export interface RecordWriterOptions {
  readonly journal: Journal;
  readonly table: ProgramTable;
  readonly assertions: LedgerAssertions;
  /** Called with the records of each commit. */
  readonly onCommit: (records: readonly ProgramRecord[]) => void;
}

/**
 * Applies records to the table at once, so that a snapshot covers every record that was given to
 * the journal, and appends them. Facts, such as outcomes, that the journal did not take are kept
 * and go with the program's next append; intents are not kept.
 */
export class RecordWriter {
  readonly #options: RecordWriterOptions;

  readonly #kept = new Map<string, readonly ProgramRecord[]>();

  constructor(options: RecordWriterOptions) {
    this.#options = options;
  }

  /** Keys of the programs with records that are not committed. */
  get programsWithKept(): readonly string[] {
    return [...this.#kept.keys()];
  }

  hasKept(program: ProgramIdentifier): boolean {
    return this.#kept.has(programKey(program));
  }

  /** Applies facts that go with the program's next append. */
  keep(program: ProgramIdentifier, records: readonly ProgramRecord[]): void {
    this.#apply(records);
    const key = programKey(program);
    this.#kept.set(key, [...(this.#kept.get(key) ?? []), ...records]);
  }

  /** Appends what is kept of a program. */
  flush(program: ProgramIdentifier): ResultAsync<JournalCommit, JournalError> {
    return this.#appendWithKept(programKey(program), []);
  }

  /** Appends what is kept of all programs. */
  flushAll(): readonly ResultAsync<JournalCommit, JournalError>[] {
    return this.programsWithKept.map((key) => this.#appendWithKept(key, []));
  }

  /** Applies intents and appends them behind what is kept; the caller takes them back on an error. */
  append(
    program: ProgramIdentifier,
    intents: readonly ProgramRecord[],
  ): ResultAsync<JournalCommit, JournalError> {
    this.#apply(intents);
    return this.#appendWithKept(programKey(program), intents);
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

  #appendWithKept(
    key: string,
    intents: readonly ProgramRecord[],
  ): ResultAsync<JournalCommit, JournalError> {
    const { journal, assertions, onCommit } = this.#options;
    if (assertions.hasFailed) {
      return errAsync({ kind: 'unavailable', detail: 'the partition stopped on an invariant' });
    }
    const kept = this.#kept.get(key) ?? [];
    const records = [...kept, ...intents];
    if (records.length === 0) return okAsync({ durability: 'durable' });
    this.#kept.delete(key);
    return journal
      .append(records)
      .andTee(() => {
        onCommit(records);
      })
      .orTee(() => {
        if (kept.length > 0) this.#kept.set(key, [...kept, ...(this.#kept.get(key) ?? [])]);
      });
  }
}

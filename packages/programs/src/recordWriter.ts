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
  /** Largest append that the journal takes, in bytes; more is appended in parts. */
  readonly maximumAppendBytes: number;
  /** Called with the records of each commit. */
  readonly onCommit: (records: readonly ProgramRecord[]) => void;
}

/** How an append in parts ended. */
interface PartedAppend {
  /** Records that were committed, from the first on. */
  readonly committed: number;
  readonly result: Result<JournalCommit, JournalError>;
}

/**
 * Applies records to the table and appends them, one append of a program after another. Facts, such
 * as outcomes, that the journal did not take are kept and go with the program's next append;
 * intents are not kept. A snapshot of the table covers at least what was given to the journal.
 */
export class RecordWriter {
  readonly #options: RecordWriterOptions;

  readonly #kept = new Map<string, readonly ProgramRecord[]>();

  /** Appends under way; none of them rejects. */
  readonly #underWay = new Map<string, Promise<unknown>>();

  constructor(options: RecordWriterOptions) {
    this.#options = options;
  }

  /** Whether facts of a program are not committed yet. */
  hasUncommitted(program: ProgramIdentifier): boolean {
    const key = programKey(program);
    return this.#kept.has(key) || this.#underWay.has(key);
  }

  /**
   * Returns the append of a program that is under way; it never rejects. Whoever waits for it must
   * look again after that, as another may have started one.
   */
  underWay(program: ProgramIdentifier): Promise<unknown> | undefined {
    return this.#underWay.get(programKey(program));
  }

  /** Applies facts that go with the program's next append. */
  keep(program: ProgramIdentifier, records: readonly ProgramRecord[]): void {
    this.#apply(records);
    const key = programKey(program);
    this.#kept.set(key, [...(this.#kept.get(key) ?? []), ...records]);
  }

  /** Appends what is kept of a program; on success, all facts until now are committed. */
  flush(program: ProgramIdentifier): ResultAsync<JournalCommit, JournalError> {
    return new ResultAsync(this.#flush(programKey(program)));
  }

  /** Appends what is kept of all programs. */
  flushAll(): Promise<readonly Result<JournalCommit, JournalError>[]> {
    return Promise.all([...this.#kept.keys()].map((key) => this.#flush(key)));
  }

  /**
   * Applies intents and appends them behind what is kept; `withdraw` takes them back on an error.
   * No other append of the program may be under way.
   */
  append(
    program: ProgramIdentifier,
    intents: readonly ProgramRecord[],
    withdraw: () => void,
  ): Promise<Result<JournalCommit, JournalError>> {
    const key = programKey(program);
    this.#options.assertions.check(!this.#underWay.has(key), 'one-append-a-program');
    this.#apply(intents);
    return this.#append(key, intents, withdraw);
  }

  async #flush(key: string): Promise<Result<JournalCommit, JournalError>> {
    while (this.#underWay.has(key)) await this.#underWay.get(key);
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
      return err({ kind: 'unavailable', detail: 'the partition stopped on an invariant' });
    }
    const kept = this.#kept.get(key) ?? [];
    const records = [...kept, ...intents];
    if (records.length === 0) return ok({ durability: 'durable' });
    this.#kept.delete(key);
    const appending = this.#appendParts(records);
    this.#underWay.set(key, appending);
    const { committed, result } = await appending;
    // All of this before anyone that waits for the append sees its end.
    this.#underWay.delete(key);
    if (result.isOk()) return result;
    withdraw();
    this.#keepAgain(key, kept.slice(committed));
    return result;
  }

  /** Appends records in as many parts as the journal needs; a part that fails ends it. */
  async #appendParts(records: readonly ProgramRecord[]): Promise<PartedAppend> {
    const { journal, maximumAppendBytes, onCommit } = this.#options;
    let durability: JournalCommit['durability'] = 'durable';
    let committed = 0;
    for (const part of splitRecords(records, maximumAppendBytes)) {
      const result = await journal.append(part);
      if (result.isErr()) return { committed, result };
      onCommit(part);
      committed += part.length;
      if (result.value.durability === 'deferred') durability = 'deferred';
    }
    return { committed, result: ok({ durability }) };
  }

  #keepAgain(key: string, records: readonly ProgramRecord[]): void {
    const all = [...records, ...(this.#kept.get(key) ?? [])];
    if (all.length > 0) this.#kept.set(key, all);
  }
}

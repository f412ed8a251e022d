import type { Logger, Metrics } from '@limpetnotch/observability';
import type { CallRefusal } from './callStart';
import type { Journal, JournalError } from './journal';
import { LedgerAssertions } from './ledgerAssertions';
import { LedgerTurns } from './ledgerTurns';
import type { ProgramLedgerSettings } from './programLedgerSettings';
import type { ProgramRecord } from './programRecord';
import type { ProgramTable } from './programTable';
import { RecordWriter } from './recordWriter';
import { RunningCalls } from './runningCalls';
import { NO_USAGE } from './util/noUsage';

/** Options of a {@link LedgerCore}. */
export interface LedgerCoreOptions {
  readonly journal: Journal;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: ProgramLedgerSettings;
  readonly table: ProgramTable;
}

/** Problem of a refusal, before it is known whether the call ran. */
export type Problem = Pick<CallRefusal, 'problem' | 'detail'>;

type Status = 'serving' | 'draining' | 'left';

const NOT_OWNER: Problem = {
  problem: 'not-owner',
  detail: 'another instance owns the program',
};

/** State and status that the parts of one partition's ledger share. */
export class LedgerCore {
  readonly journal: Journal;

  readonly metrics: Metrics;

  readonly settings: ProgramLedgerSettings;

  readonly table: ProgramTable;

  readonly assertions: LedgerAssertions;

  readonly turns: LedgerTurns;

  readonly running = new RunningCalls();

  readonly writer: RecordWriter;

  #status: Status = 'serving';

  constructor({ journal, logger, metrics, settings, table }: LedgerCoreOptions) {
    this.journal = journal;
    this.metrics = metrics;
    this.settings = settings;
    this.table = table;
    this.assertions = new LedgerAssertions({ partition: journal.partition, logger, metrics });
    this.turns = new LedgerTurns(settings.maximumWaitingCalls);
    this.writer = new RecordWriter({
      journal,
      table,
      assertions: this.assertions,
      maximumAppendBytes: settings.maximumAppendBytes,
      onCommit: (records) => {
        this.#forgetRecorded(records);
      },
    });
  }

  /** Why nothing may be started, answered or recorded here any more, if so. */
  get stopped(): Problem | undefined {
    if (this.#status === 'left') return NOT_OWNER;
    if (!this.assertions.hasFailed) return undefined;
    return { problem: 'partition-stopped', detail: 'an invariant of the partition failed' };
  }

  /** Why no new call may start, if so. */
  get closed(): Problem | undefined {
    return this.stopped ?? (this.#status === 'draining' ? NOT_OWNER : undefined);
  }

  /** Refuses new calls and those that wait; resolves when none is under way. */
  async drain(): Promise<void> {
    if (this.#status === 'serving') this.#status = 'draining';
    this.turns.refuseAllWaiting(NOT_OWNER);
    await this.turns.untilIdle();
  }

  /** Gives the partition up; what runs here can no longer be answered. */
  leave(): void {
    if (this.#status === 'left') return;
    this.#status = 'left';
    this.turns.refuseAllWaiting(NOT_OWNER);
    this.running.all.forEach((call) => {
      const { detail, problem } = NOT_OWNER;
      call.settle({ kind: 'failed', executed: 'unknown', problem, detail, usage: NO_USAGE });
      this.running.remove(call.callId);
      if (!call.givenOutcome) this.turns.leave(call.request.program);
    });
  }

  /** Turns an error of the journal into a problem; leaves the partition where it was lost. */
  problemOf(error: JournalError): Problem {
    let problem: Problem;
    switch (error.kind) {
      case 'deposed':
        this.leave();
        problem = NOT_OWNER;
        break;
      case 'unavailable':
        problem = { problem: 'journal-unavailable', detail: error.detail };
        break;
      // no default
    }
    return problem;
  }

  #forgetRecorded(records: readonly ProgramRecord[]): void {
    records.forEach((record) => {
      if (record.kind === 'call-finished') this.running.remove(record.callId);
    });
  }
}

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

/** Problem of a refusal, without whether the call ran. */
export type RefusalProblem = Pick<CallRefusal, 'problem' | 'detail'>;

type Status = 'serving' | 'draining' | 'left';

const NOT_OWNER: RefusalProblem = {
  problem: 'not-owner',
  detail: 'another instance owns the program',
};

/** State shared by the components of one partition's ledger. */
export class LedgerCore {
  readonly journal: Journal;

  readonly metrics: Metrics;

  readonly settings: ProgramLedgerSettings;

  readonly table: ProgramTable;

  readonly assertions: LedgerAssertions;

  readonly turns: LedgerTurns;

  readonly runningCalls = new RunningCalls();

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
        this.#removeFinishedCalls(records);
      },
    });
  }

  /** Why calls can no longer be started, answered or recorded; `undefined` while they can. */
  get stopProblem(): RefusalProblem | undefined {
    if (this.#status === 'left') return NOT_OWNER;
    if (!this.assertions.hasFailed) return undefined;
    return { problem: 'partition-stopped', detail: 'an invariant of the partition failed' };
  }

  /** Why no new call may start; `undefined` while calls may. */
  get closeProblem(): RefusalProblem | undefined {
    return this.stopProblem ?? (this.#status === 'draining' ? NOT_OWNER : undefined);
  }

  /** Refuses new and waiting calls; resolves when no call is in progress. */
  async drain(): Promise<void> {
    if (this.#status === 'serving') this.#status = 'draining';
    this.turns.refuseAllWaiting(NOT_OWNER);
    await this.turns.waitUntilIdle();
  }

  /**
   * Stops serving the partition. Running calls can no longer be completed here; callers that joined
   * them get an unknown outcome.
   */
  stop(): void {
    if (this.#status === 'left') return;
    this.#status = 'left';
    this.turns.refuseAllWaiting(NOT_OWNER);
    this.runningCalls.all.forEach((call) => {
      const { detail, problem } = NOT_OWNER;
      call.settle({ kind: 'failed', executed: 'unknown', problem, detail, usage: NO_USAGE });
      this.runningCalls.remove(call.callId);
      if (!call.acceptedOutcome) this.turns.release(call.request.program);
    });
  }

  /** Converts a journal error to a problem; stops the ledger if the partition has another owner. */
  handleJournalError(error: JournalError): RefusalProblem {
    let problem: RefusalProblem;
    switch (error.kind) {
      case 'deposed':
        this.stop();
        problem = NOT_OWNER;
        break;
      case 'unavailable':
        problem = { problem: 'journal-unavailable', detail: error.detail };
        break;
      // no default
    }
    return problem;
  }

  #removeFinishedCalls(records: readonly ProgramRecord[]): void {
    records.forEach((record) => {
      if (record.kind === 'call-finished') this.runningCalls.remove(record.callId);
    });
  }
}

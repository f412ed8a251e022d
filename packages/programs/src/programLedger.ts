import type { Logger, Metrics } from '@limpetnotch/observability';
import { ResultAsync } from 'neverthrow';
import type { Result } from 'neverthrow';
import { CallFinisher } from './callFinisher';
import type { CallRequest } from './callRequest';
import type { CallRefusal, CallStart } from './callStart';
import { CallStarter } from './callStarter';
import type { EngineMemory } from './engineMemoryList';
import type { Journal, JournalCommit, JournalError } from './journal';
import { LedgerCore } from './ledgerCore';
import type { LedgerSnapshot } from './ledgerSnapshot';
import { ProgramLifecycle } from './programLifecycle';
import { DEFAULT_PROGRAM_LEDGER_SETTINGS } from './programLedgerSettings';
import type { ProgramLedgerSettings } from './programLedgerSettings';
import type { CallOutcome, EndReason, ProgramIdentifier } from './programRecord';
import { ProgramTable } from './programTable';
import type { ProgramView } from './programView';
import { restoreTable } from './restoreTable';
import type { LedgerRestoreError } from './restoreTable';
import { NO_USAGE } from './util/noUsage';

const ANY_TARGET = '*';

/** Options of a {@link ProgramLedger}. */
export interface ProgramLedgerOptions {
  readonly journal: Journal;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Overrides of the default settings. */
  readonly settings?: Partial<ProgramLedgerSettings>;
}

/** Options of {@link ProgramLedger.restore}. */
export interface RestoreOptions extends ProgramLedgerOptions {
  /** Return value of `snapshot`, or `undefined` for an empty partition. */
  readonly snapshot: unknown;
  /**
   * Records after the snapshot, the oldest first; the snapshot may already contain some of them.
   */
  readonly records: readonly unknown[];
}

/**
 * State of the programs of one partition at its owner: order, history, budgets, idempotency, ends
 * and engine memory to free. Each call goes through `begin`, its dispatch, and `finish`.
 */
export class ProgramLedger {
  readonly #core: LedgerCore;

  readonly #finisher: CallFinisher;

  readonly #starter: CallStarter;

  readonly #lifecycle: ProgramLifecycle;

  /** Creates the ledger of a partition; `table` holds its restored state. */
  constructor(options: ProgramLedgerOptions, table: ProgramTable = new ProgramTable()) {
    const settings = { ...DEFAULT_PROGRAM_LEDGER_SETTINGS, ...options.settings };
    this.#core = new LedgerCore({ ...options, settings, table });
    this.#finisher = new CallFinisher(this.#core);
    this.#starter = new CallStarter(this.#core, this.#finisher);
    this.#lifecycle = new ProgramLifecycle(this.#core);
  }

  /** Restores the ledger from the snapshot and records of the journal. */
  static restore(options: RestoreOptions): Result<ProgramLedger, LedgerRestoreError> {
    return restoreTable(options.snapshot, options.records).map((table) => {
      const ledger = new ProgramLedger(options, table);
      ledger.#recordMemoryOfLostCalls();
      return ledger;
    });
  }

  /**
   * Returns the state that replaces all records so far, without expired programs. Throws once an
   * invariant failed, so that an invalid state never replaces the records.
   */
  snapshot(): LedgerSnapshot {
    if (this.#core.assertions.hasFailed) throw new Error('an invariant of the partition failed');
    this.#lifecycle.removeExpired(Date.now());
    return this.#core.table.toSnapshot();
  }

  /** Waits for the call's turn and commits its intent, or returns its recorded outcome. */
  begin(request: CallRequest, signal: AbortSignal): ResultAsync<CallStart, CallRefusal> {
    return new ResultAsync(this.#starter.begin(request, signal));
  }

  /** Commits the outcome of a call; the end of the response may be sent only after that. */
  finish(callId: string, outcome: CallOutcome): ResultAsync<JournalCommit, JournalError> {
    return this.#finisher.finish(callId, outcome);
  }

  /** Closes a call that was certainly not dispatched; its idempotency key may run again. */
  abandon(callId: string): ResultAsync<JournalCommit, JournalError> {
    const detail = 'the request was not sent to a target';
    const problem = 'not-dispatched';
    return this.finish(callId, {
      kind: 'failed',
      executed: 'no',
      problem,
      detail,
      usage: NO_USAGE,
    });
  }

  /** Ends a program and its sub-agents. */
  endProgram(program: ProgramIdentifier, reason: EndReason): ResultAsync<undefined, CallRefusal> {
    return new ResultAsync(this.#lifecycle.end(program, reason));
  }

  /** Ends idle programs and those past their wall time; must be called periodically. */
  endIdlePrograms(nowMilliseconds: number): Promise<number> {
    return this.#lifecycle.endIdle(nowMilliseconds);
  }

  /** Returns a program with its history and budget. */
  readProgram(program: ProgramIdentifier): Result<ProgramView, CallRefusal> {
    return this.#lifecycle.read(program);
  }

  /** Records, together with the outcome of the call, that a target holds memory of a program. */
  recordMemoryHeld(program: ProgramIdentifier, target: string): void {
    const { table, writer } = this.#core;
    const sessionId = table.find(program)?.program.sessionId;
    if (sessionId === undefined) return;
    const memory = { program, target, sessionId };
    if (table.engineMemory.has(memory)) return;
    writer.enqueue(program, [{ kind: 'memory-held', ...memory }]);
  }

  /** Returns the memory of ended programs that no running call uses. */
  getMemoryToFree(): readonly EngineMemory[] {
    const { table, runningCalls } = this.#core;
    const sessionsInUse = new Set(
      runningCalls.all.map(({ request }) => table.find(request.program)?.program.sessionId),
    );
    return table.engineMemory
      .entries()
      .filter(({ ended, sessionId }) => ended && !sessionsInUse.has(sessionId))
      .map(({ program, target, sessionId }) => ({ program, target, sessionId }));
  }

  /** Records that a target has freed the memory of an ended program. */
  recordMemoryFreed(memory: EngineMemory): ResultAsync<JournalCommit, JournalError> {
    const { writer } = this.#core;
    const { program, target, sessionId } = memory;
    writer.enqueue(program, [{ kind: 'memory-freed', program, target, sessionId }]);
    return writer.flush(program);
  }

  /** Refuses new and waiting calls; resolves when no call is in progress. */
  drain(): Promise<void> {
    return this.#core.drain();
  }

  /** Stops serving the partition immediately. */
  stop(): void {
    this.#core.stop();
  }

  /** Lists every target for calls without an outcome: a lost owner may have used any of them. */
  #recordMemoryOfLostCalls(): void {
    this.#core.table.trees.forEach((tree) => {
      tree.programs.forEach(({ current, program }) => {
        if (current) this.recordMemoryHeld(program, ANY_TARGET);
      });
    });
  }
}

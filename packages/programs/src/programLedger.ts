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
  /** Settings that differ from the defaults. */
  readonly settings?: Partial<ProgramLedgerSettings>;
}

/** Options of {@link ProgramLedger.restore}. */
export interface RestoreOptions extends ProgramLedgerOptions {
  /** What `snapshot` returned, or `undefined` for an empty partition. */
  readonly snapshot: unknown;
  /** Records after the snapshot, the oldest first; some may be part of the snapshot already. */
  readonly records: readonly unknown[];
}

/**
 * Programs of one partition at its owner: order, history, budgets, idempotency, ends and the
 * engine memory to free. Each call goes through `begin`, its dispatch, and `finish`.
 */
export class ProgramLedger {
  readonly #core: LedgerCore;

  readonly #finisher: CallFinisher;

  readonly #starter: CallStarter;

  readonly #lifecycle: ProgramLifecycle;

  /** Creates the ledger of a partition; `table` holds what was restored. */
  constructor(options: ProgramLedgerOptions, table: ProgramTable = new ProgramTable()) {
    const settings = { ...DEFAULT_PROGRAM_LEDGER_SETTINGS, ...options.settings };
    this.#core = new LedgerCore({ ...options, settings, table });
    this.#finisher = new CallFinisher(this.#core);
    this.#starter = new CallStarter(this.#core, this.#finisher);
    this.#lifecycle = new ProgramLifecycle(this.#core);
  }

  /** Rebuilds the ledger from what the journal kept. */
  static restore(options: RestoreOptions): Result<ProgramLedger, LedgerRestoreError> {
    return restoreTable(options.snapshot, options.records).map((table) => {
      const ledger = new ProgramLedger(options, table);
      ledger.#listMemoryOfLostCalls();
      return ledger;
    });
  }

  /**
   * Returns the state that takes the place of all records so far, without expired programs. Throws
   * once an invariant failed, so that a doubtful state never replaces what is recorded.
   */
  snapshot(): LedgerSnapshot {
    if (this.#core.assertions.hasFailed) throw new Error('an invariant of the partition failed');
    this.#lifecycle.dropRetained(Date.now());
    return this.#core.table.toSnapshot();
  }

  /** Waits for a call's turn and commits its intent, or answers it from what is recorded. */
  begin(request: CallRequest, signal: AbortSignal): ResultAsync<CallStart, CallRefusal> {
    return new ResultAsync(this.#starter.begin(request, signal));
  }

  /** Commits a call's outcome; the end of the answer may be sent only after that. */
  finish(callId: string, outcome: CallOutcome): ResultAsync<JournalCommit, JournalError> {
    return this.#finisher.finish(callId, outcome);
  }

  /** Closes a call whose dispatch certainly never left; its idempotency key may run again. */
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

  /** Ends idle programs and those past their wall time; to be called now and then. */
  endIdlePrograms(nowMilliseconds: number): Promise<number> {
    return this.#lifecycle.endIdle(nowMilliseconds);
  }

  /** Returns a program with its history and budget. */
  readProgram(program: ProgramIdentifier): Result<ProgramView, CallRefusal> {
    return this.#lifecycle.read(program);
  }

  /** Notes that a target holds memory of a program; recorded with the call's outcome. */
  memoryHeld(program: ProgramIdentifier, target: string): void {
    const { table, writer } = this.#core;
    const sessionId = table.find(program)?.program.sessionId;
    if (sessionId === undefined) return;
    const memory = { program, target, sessionId };
    if (table.engineMemory.holds(memory)) return;
    writer.keep(program, [{ kind: 'memory-held', ...memory }]);
  }

  /** Returns the memory of ended programs that no call uses any more. */
  memoryToFree(): readonly EngineMemory[] {
    const { table, running } = this.#core;
    const sessionsInUse = new Set(
      running.all.map(({ request }) => table.find(request.program)?.program.sessionId),
    );
    return table.engineMemory
      .entries()
      .filter(({ ended, sessionId }) => ended && !sessionsInUse.has(sessionId))
      .map(({ program, target, sessionId }) => ({ program, target, sessionId }));
  }

  /** Records that a target freed the memory of an ended program. */
  memoryFreed(memory: EngineMemory): ResultAsync<JournalCommit, JournalError> {
    const { writer } = this.#core;
    const { program, target, sessionId } = memory;
    writer.keep(program, [{ kind: 'memory-freed', program, target, sessionId }]);
    return writer.flush(program);
  }

  /** Refuses new calls; resolves when none is under way. */
  drain(): Promise<void> {
    return this.#core.drain();
  }

  /** Gives the partition up at once. */
  stop(): void {
    this.#core.leave();
  }

  /** A lost owner may have used any target for the calls that have no outcome. */
  #listMemoryOfLostCalls(): void {
    this.#core.table.trees.forEach((tree) => {
      tree.programs.forEach(({ current, program }) => {
        if (current) this.memoryHeld(program, ANY_TARGET);
      });
    });
  }
}

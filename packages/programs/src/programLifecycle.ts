import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallRefusal } from './callStart';
import type { LedgerCore } from './ledgerCore';
import type { BudgetLimits, EndReason, ProgramIdentifier } from './programRecord';
import type { FoundProgram } from './programTable';
import type { ProgramTree } from './programTree';
import type { ProgramView } from './programView';

const NOT_FOUND: CallRefusal = {
  problem: 'program-not-found',
  executed: 'no',
  detail: 'there is no such program',
};

const clampToZero = (remaining: BudgetLimits): BudgetLimits => ({
  ...remaining,
  tokens: remaining.tokens && Math.max(0, remaining.tokens),
  calls: remaining.calls && Math.max(0, remaining.calls),
  spendMicros: remaining.spendMicros && Math.max(0, remaining.spendMicros),
});

/** Reads, ends and removes programs. */
export class ProgramLifecycle {
  readonly #core: LedgerCore;

  constructor(core: LedgerCore) {
    this.#core = core;
  }

  /** Ends a program and its sub-agents; ending it again has no effect. */
  async end(
    program: ProgramIdentifier,
    reason: EndReason,
  ): Promise<Result<undefined, CallRefusal>> {
    const { table, writer } = this.#core;
    // If the journal rejects the start, the program never existed and its end must not be recorded.
    while (this.#isStarting(program)) await writer.getPendingAppend(program);
    const { stopProblem } = this.#core;
    if (stopProblem) return err({ ...stopProblem, executed: 'no' });
    const found = table.find(program);
    if (!found) return err(NOT_FOUND);
    if (!found.program.end) this.#recordEnd(found, reason);
    const flushResult = await writer.flush(program);
    return flushResult
      .map(() => undefined)
      .mapErr((error) => ({ ...this.#core.handleJournalError(error), executed: 'no' as const }));
  }

  /**
   * Ends idle programs and those past their wall time, retries records that the journal rejected
   * before, and removes expired programs. Returns the number of programs ended.
   */
  async endIdle(nowMilliseconds: number): Promise<number> {
    const { table, writer, metrics, journal } = this.#core;
    this.removeExpired(nowMilliseconds);
    metrics.gauge('program.held', table.trees.length, { partition: String(journal.partition) });
    const endings = table.trees.flatMap((tree) => {
      const reason = this.#findEndReason(tree, nowMilliseconds);
      return tree.root && reason ? [this.end(tree.root.program, reason)] : [];
    });
    await Promise.all(endings);
    const flushResults = await writer.flushAll();
    flushResults.forEach((result) => {
      if (result.isErr()) this.#core.handleJournalError(result.error);
    });
    return endings.length;
  }

  /** Removes ended programs whose retention is over, so that their calls are no longer replayed. */
  removeExpired(nowMilliseconds: number): void {
    const { table } = this.#core;
    table.trees.forEach((tree) => {
      const { root } = tree;
      if (!root?.end || this.#isBusy(tree)) return;
      const ageMilliseconds = nowMilliseconds - root.end.endedAtMilliseconds;
      if (ageMilliseconds > this.#getRetention(root.end.reason)) table.removeTree(root.program);
    });
  }

  /** Returns a program with its recorded history. */
  read(program: ProgramIdentifier): Result<ProgramView, CallRefusal> {
    const { table, runningCalls, stopProblem } = this.#core;
    if (stopProblem) return err({ ...stopProblem, executed: 'no' });
    const found = table.find(program);
    if (!found) return err(NOT_FOUND);
    const { startedAtMilliseconds, history, current, end } = found.program;
    const { budget } = found.tree;
    return ok({
      program,
      startedAtMilliseconds,
      end,
      history: history.filter(({ callId }) => !runningCalls.find(callId)),
      sequenceUnderWay: current?.sequence,
      limits: budget.limits,
      spent: budget.spent,
      left: clampToZero(budget.getRemaining()),
    });
  }

  #isStarting(program: ProgramIdentifier): boolean {
    const { table, writer } = this.#core;
    const hasHistory = (table.find(program)?.program.history.length ?? 0) > 0;
    return !hasHistory && writer.getPendingAppend(program) !== undefined;
  }

  #recordEnd({ program: endingProgram, tree }: FoundProgram, reason: EndReason): void {
    const { turns, writer, metrics } = this.#core;
    const { program } = endingProgram;
    const kind = 'program-ended';
    writer.enqueue(program, [{ kind, program, reason, endedAtMilliseconds: Date.now() }]);
    metrics.increment('program.ended', 1, { reason });
    const detail = 'the program ended while the call waited';
    tree.getSubtree(program.path).forEach((ended) => {
      turns.refuseWaiting(ended.program, { problem: 'program-ended', detail });
    });
  }

  #findEndReason(tree: ProgramTree, nowMilliseconds: number): EndReason | undefined {
    if (!tree.root || tree.root.end || this.#isBusy(tree)) return undefined;
    if (tree.budget.getRemainingWallTimeMilliseconds(nowMilliseconds) === 0) return 'budget';
    const idleMilliseconds = nowMilliseconds - tree.lastActivityMilliseconds;
    return idleMilliseconds > this.#core.settings.idleMilliseconds ? 'idle' : undefined;
  }

  #isBusy(tree: ProgramTree): boolean {
    const { turns, writer } = this.#core;
    return tree.programs.some(
      ({ program }) => turns.isBusy(program) || writer.hasUncommitted(program),
    );
  }

  #getRetention(reason: EndReason): number {
    const { singleCallRetentionMilliseconds, endedRetentionMilliseconds } = this.#core.settings;
    return reason === 'single-call' ? singleCallRetentionMilliseconds : endedRetentionMilliseconds;
  }
}

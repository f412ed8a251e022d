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

const notBelowZero = (left: BudgetLimits): BudgetLimits => ({
  ...left,
  tokens: left.tokens && Math.max(0, left.tokens),
  calls: left.calls && Math.max(0, left.calls),
  spendMicros: left.spendMicros && Math.max(0, left.spendMicros),
});

/** Reads, ends and forgets programs. */
export class ProgramLifecycle {
  readonly #core: LedgerCore;

  constructor(core: LedgerCore) {
    this.#core = core;
  }

  /** Ends a program and its sub-agents; ending it again changes nothing. */
  async end(
    program: ProgramIdentifier,
    reason: EndReason,
  ): Promise<Result<undefined, CallRefusal>> {
    const { table, writer } = this.#core;
    // A start that the journal does not take never was: its end must not be recorded either.
    while (this.#isStarting(program)) await writer.underWay(program);
    const { stopped } = this.#core;
    if (stopped) return err({ ...stopped, executed: 'no' });
    const found = table.find(program);
    if (!found) return err(NOT_FOUND);
    if (!found.program.end) this.#recordEnd(found, reason);
    const flushed = await writer.flush(program);
    return flushed
      .map(() => undefined)
      .mapErr((error) => ({ ...this.#core.problemOf(error), executed: 'no' as const }));
  }

  /**
   * Ends the programs without a call for too long, and those past their wall time; records what
   * the journal did not take before; forgets ended programs. Returns how many it ended.
   */
  async endIdle(nowMilliseconds: number): Promise<number> {
    const { table, writer, metrics, journal } = this.#core;
    this.dropRetained(nowMilliseconds);
    metrics.gauge('program.held', table.trees.length, { partition: String(journal.partition) });
    const ended = table.trees.flatMap((tree) => {
      const reason = this.#reasonToEnd(tree, nowMilliseconds);
      return tree.root && reason ? [this.end(tree.root.program, reason)] : [];
    });
    await Promise.all(ended);
    const flushed = await writer.flushAll();
    flushed.forEach((result) => {
      if (result.isErr()) this.#core.problemOf(result.error);
    });
    return ended.length;
  }

  /** Forgets programs that ended long enough ago that no call of theirs is given again. */
  dropRetained(nowMilliseconds: number): void {
    const { table } = this.#core;
    table.trees.forEach((tree) => {
      const { root } = tree;
      if (!root?.end || this.#isBusy(tree)) return;
      const age = nowMilliseconds - root.end.endedAtMilliseconds;
      if (age > this.#retentionOf(root.end.reason)) table.dropTree(root.program);
    });
  }

  /** Returns a program with its recorded history. */
  read(program: ProgramIdentifier): Result<ProgramView, CallRefusal> {
    const { table, running, stopped } = this.#core;
    if (stopped) return err({ ...stopped, executed: 'no' });
    const found = table.find(program);
    if (!found) return err(NOT_FOUND);
    const { startedAtMilliseconds, history, current, end } = found.program;
    const { budget } = found.tree;
    return ok({
      program,
      startedAtMilliseconds,
      end,
      history: history.filter(({ callId }) => !running.find(callId)),
      sequenceUnderWay: current?.sequence,
      limits: budget.limits,
      spent: budget.spent,
      left: notBelowZero(budget.left()),
    });
  }

  #isStarting(program: ProgramIdentifier): boolean {
    const { table, writer } = this.#core;
    const hasHistory = (table.find(program)?.program.history.length ?? 0) > 0;
    return !hasHistory && writer.underWay(program) !== undefined;
  }

  #recordEnd({ program: ending, tree }: FoundProgram, reason: EndReason): void {
    const { turns, writer, metrics } = this.#core;
    const { program } = ending;
    const kind = 'program-ended';
    writer.keep(program, [{ kind, program, reason, endedAtMilliseconds: Date.now() }]);
    metrics.increment('program.ended', 1, { reason });
    const detail = 'the program ended while the call waited';
    tree.within(program.path).forEach((ended) => {
      turns.refuseWaiting(ended.program, { problem: 'program-ended', detail });
    });
  }

  #reasonToEnd(tree: ProgramTree, nowMilliseconds: number): EndReason | undefined {
    if (!tree.root || tree.root.end || this.#isBusy(tree)) return undefined;
    if (tree.budget.wallTimeLeft(nowMilliseconds) === 0) return 'budget';
    const idleMilliseconds = nowMilliseconds - tree.lastActivityMilliseconds;
    return idleMilliseconds > this.#core.settings.idleMilliseconds ? 'idle' : undefined;
  }

  #isBusy(tree: ProgramTree): boolean {
    const { turns, writer } = this.#core;
    return tree.programs.some(
      ({ program }) => turns.isBusy(program) || writer.hasUncommitted(program),
    );
  }

  #retentionOf(reason: EndReason): number {
    const { singleCallRetentionMilliseconds, endedRetentionMilliseconds } = this.#core.settings;
    return reason === 'single-call' ? singleCallRetentionMilliseconds : endedRetentionMilliseconds;
  }
}

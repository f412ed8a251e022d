import { err, errAsync, ok, okAsync } from 'neverthrow';
import type { Result, ResultAsync } from 'neverthrow';
import type { CallRefusal } from './callStart';
import type { LedgerCore } from './ledgerCore';
import type { EndReason, ProgramIdentifier } from './programRecord';
import type { ProgramTree } from './programTree';
import type { ProgramView } from './programView';

const NOT_FOUND: CallRefusal = {
  problem: 'program-not-found',
  executed: 'no',
  detail: 'there is no such program',
};

/** Reads, ends and forgets programs. */
export class ProgramLifecycle {
  readonly #core: LedgerCore;

  constructor(core: LedgerCore) {
    this.#core = core;
  }

  /** Ends a program and its sub-agents; ending it again changes nothing. */
  end(program: ProgramIdentifier, reason: EndReason): ResultAsync<undefined, CallRefusal> {
    const { table, turns, writer, stopped } = this.#core;
    if (stopped) return errAsync({ ...stopped, executed: 'no' });
    const found = table.find(program);
    if (!found) return errAsync(NOT_FOUND);
    if (!found.program.end) {
      const kind = 'program-ended';
      writer.keep(program, [{ kind, program, reason, endedAtMilliseconds: Date.now() }]);
      this.#core.metrics.increment('program.ended', 1, { reason });
      const detail = 'the program ended while the call waited';
      found.tree.within(program.path).forEach((ended) => {
        turns.refuseWaiting(ended.program, { problem: 'program-ended', detail });
      });
    }
    if (!writer.hasKept(program)) return okAsync(undefined);
    return writer
      .flush(program)
      .map(() => undefined)
      .mapErr((error) => ({ ...this.#core.problemOf(error), executed: 'no' as const }));
  }

  /**
   * Ends the programs without a call for too long, and those past their wall time; records what
   * the journal did not take before; forgets ended programs. Returns how many it ended.
   */
  async endIdle(nowMilliseconds: number): Promise<number> {
    const { table, writer } = this.#core;
    this.dropRetained(nowMilliseconds);
    const ended = table.trees.flatMap((tree) => {
      const reason = this.#reasonToEnd(tree, nowMilliseconds);
      return tree.root && reason ? [this.end(tree.root.program, reason)] : [];
    });
    await Promise.all(ended);
    const flushed = await Promise.all(writer.flushAll());
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
      left: budget.left(),
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
    return tree.programs.some(({ program }) => turns.isBusy(program) || writer.hasKept(program));
  }

  #retentionOf(reason: EndReason): number {
    const { singleCallRetentionMilliseconds, endedRetentionMilliseconds } = this.#core.settings;
    return reason === 'single-call' ? singleCallRetentionMilliseconds : endedRetentionMilliseconds;
  }
}

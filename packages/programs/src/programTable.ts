import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { EngineMemoryList } from './engineMemoryList';
import { SNAPSHOT_FORMAT_VERSION } from './ledgerSnapshot';
import type { LedgerSnapshot } from './ledgerSnapshot';
import { Program } from './program';
import type { ProgramIdentifier, ProgramRecord } from './programRecord';
import { ProgramTree } from './programTree';
import { NO_USAGE } from './util/noUsage';
import { programKey } from './util/programKey';
import { programPath } from './util/programPath';

type RecordOf<Kind extends ProgramRecord['kind']> = Extract<ProgramRecord, { kind: Kind }>;

/** A program together with its tree. */
export interface FoundProgram {
  readonly tree: ProgramTree;
  readonly program: Program;
}

const toRootIdentifier = ({ organisation, path }: ProgramIdentifier): ProgramIdentifier => ({
  organisation,
  path: programPath.root(path),
});

/**
 * State of a partition, built by applying its records. Applying a record twice has no effect, so a
 * snapshot may already contain the first records that follow it.
 */
export class ProgramTable {
  readonly engineMemory = new EngineMemoryList();

  readonly #trees = new Map<string, ProgramTree>();

  static fromSnapshot(snapshot: LedgerSnapshot): ProgramTable {
    const table = new ProgramTable();
    snapshot.trees.forEach((treeSnapshot) => {
      const tree = ProgramTree.fromSnapshot(treeSnapshot);
      if (tree?.root) table.#trees.set(programKey(tree.root.program), tree);
    });
    snapshot.engineMemory.forEach((memory) => {
      table.engineMemory.add(memory, memory.ended);
    });
    return table;
  }

  toSnapshot(): LedgerSnapshot {
    return {
      formatVersion: SNAPSHOT_FORMAT_VERSION,
      trees: [...this.#trees.values()].map((tree) => tree.toSnapshot()),
      engineMemory: [...this.engineMemory.entries()],
    };
  }

  get trees(): readonly ProgramTree[] {
    return [...this.#trees.values()];
  }

  find(program: ProgramIdentifier): FoundProgram | undefined {
    const tree = this.#trees.get(programKey(toRootIdentifier(program)));
    const found = tree?.find(program.path);
    return tree && found && { tree, program: found };
  }

  /** Removes a root program and its sub-agents; their engine memory to free stays listed. */
  removeTree(root: ProgramIdentifier): void {
    this.#trees.delete(programKey(root));
  }

  /** Applies a record; returns an error if it contradicts earlier records. */
  apply(record: ProgramRecord): Result<undefined, string> {
    let applied: Result<undefined, string>;
    switch (record.kind) {
      case 'program-started':
        applied = this.#start(record);
        break;
      case 'call-intended':
        applied = this.#addIntent(record);
        break;
      case 'call-finished':
        applied = this.#finish(record);
        break;
      case 'program-ended':
        applied = this.#end(record);
        break;
      case 'memory-held':
        applied = this.#addMemory(record);
        break;
      case 'memory-freed':
        applied = this.#removeMemory(record);
        break;
      // no default
    }
    return applied;
  }

  /** Withdraws an intent that the journal did not record, back to the lost attempt, if any. */
  withdrawIntent(identifier: ProgramIdentifier, lostCallId: string | undefined): void {
    const found = this.find(identifier);
    if (!found) return;
    ProgramTable.#withdrawUntil(found, lostCallId);
  }

  /** Removes a program whose start the journal did not record. */
  withdrawStart(identifier: ProgramIdentifier): void {
    const found = this.find(identifier);
    found?.tree.remove(identifier.path);
    if (found?.tree.programs.length === 0) this.removeTree(identifier);
  }

  #start(record: RecordOf<'program-started'>): Result<undefined, string> {
    const { program: identifier, limits, sessionId } = record;
    const existing = this.find(identifier)?.program;
    if (existing?.sessionId === sessionId) return ok(undefined);
    if (existing && existing.history.length > 0 && !existing.end) {
      return err(`program ${identifier.path} started twice`);
    }
    const parent = programPath.parent(identifier.path);
    const program = new Program(record);
    if (parent === undefined) {
      this.#trees.set(programKey(identifier), new ProgramTree(program, limits));
      return ok(undefined);
    }
    const foundParent = this.find({ ...identifier, path: parent });
    if (!foundParent) return err(`program ${identifier.path} started without its parent`);
    foundParent.tree.add(program);
    return ok(undefined);
  }

  #addIntent(record: RecordOf<'call-intended'>): Result<undefined, string> {
    const { kind, program: identifier, lostCallId, ...call } = record;
    const found = this.find(identifier);
    if (!found) return err(`${kind} for unknown program ${identifier.path}`);
    const { program, tree } = found;
    const isApplied = program.hasAttempt(call.callId) || call.sequence < program.history.length;
    if (isApplied) return ok(undefined);
    if (call.sequence > program.history.length) {
      return err(`sequence ${String(call.sequence)} of ${identifier.path} is ahead of the history`);
    }
    ProgramTable.#withdrawUntil(found, lostCallId);
    const lost = program.current;
    if (lost?.callId !== lostCallId) return err(`lost attempt of ${identifier.path} is unknown`);
    // An attempt that was lost with its owner may have spent its complete reservation.
    if (lost) tree.budget.settle(lost.reservation, lost.reservation);
    tree.budget.reserve(call.reservation);
    program.addAttempt(call);
    return ok(undefined);
  }

  #finish(record: RecordOf<'call-finished'>): Result<undefined, string> {
    const { program: identifier, callId, outcome, finishedAtMilliseconds } = record;
    const found = this.find(identifier);
    if (!found) return err(`outcome for unknown program ${identifier.path}`);
    const { program, tree } = found;
    if (program.hasFinished(callId)) return ok(undefined);
    if (!program.hasAttempt(callId)) {
      return err(`outcome of call ${callId} of ${identifier.path} without its intent`);
    }
    ProgramTable.#withdrawUntil(found, callId);
    if (program.current) tree.budget.settle(program.current.reservation, outcome.usage);
    program.finish(outcome, finishedAtMilliseconds);
    return ok(undefined);
  }

  #end(record: RecordOf<'program-ended'>): Result<undefined, string> {
    const { program: identifier, reason, endedAtMilliseconds } = record;
    const found = this.find(identifier);
    if (!found) return err(`end of unknown program ${identifier.path}`);
    found.tree.getSubtree(identifier.path).forEach((program) => {
      program.setEnd({ reason, endedAtMilliseconds });
      this.engineMemory.markSessionEnded(program.sessionId);
    });
    return ok(undefined);
  }

  #addMemory(record: RecordOf<'memory-held'>): Result<undefined, string> {
    const program = this.find(record.program)?.program;
    const isCurrent = program?.sessionId === record.sessionId && !program.end;
    this.engineMemory.add(record, !isCurrent);
    return ok(undefined);
  }

  #removeMemory(record: RecordOf<'memory-freed'>): Result<undefined, string> {
    this.engineMemory.remove(record);
    return ok(undefined);
  }

  /**
   * Withdraws the attempts after a given one, or all without one. Their owner never dispatched
   * them: otherwise a later record would name them.
   */
  static #withdrawUntil({ program, tree }: FoundProgram, callId: string | undefined): void {
    while (program.current && program.current.callId !== callId) {
      tree.budget.settle(program.current.reservation, NO_USAGE);
      program.withdrawAttempt();
      if (program.current) tree.budget.restoreReservation(program.current.reservation);
    }
  }
}

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

const rootOf = ({ organisation, path }: ProgramIdentifier): ProgramIdentifier => ({
  organisation,
  path: programPath.root(path),
});

/**
 * State that a partition's records add up to. A record that was applied before changes nothing, so
 * a snapshot may be newer than the first records that follow it.
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
      table.engineMemory.hold(memory, memory.ended);
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
    const tree = this.#trees.get(programKey(rootOf(program)));
    const found = tree?.find(program.path);
    return tree && found && { tree, program: found };
  }

  /** Forgets a root program and its sub-agents; memory that is to be freed stays listed. */
  dropTree(root: ProgramIdentifier): void {
    this.#trees.delete(programKey(root));
  }

  /** Applies a record; an error says why it contradicts those before it. */
  apply(record: ProgramRecord): Result<undefined, string> {
    let applied: Result<undefined, string>;
    switch (record.kind) {
      case 'program-started':
        applied = this.#start(record);
        break;
      case 'call-intended':
        applied = this.#intend(record);
        break;
      case 'call-finished':
        applied = this.#finish(record);
        break;
      case 'program-ended':
        applied = this.#end(record);
        break;
      case 'memory-held':
        applied = this.#holdMemory(record);
        break;
      case 'memory-freed':
        applied = this.#freeMemory(record);
        break;
      // no default
    }
    return applied;
  }

  /** Takes back an intent that the journal did not record, and the start of its program with it. */
  withdrawIntent(identifier: ProgramIdentifier, lostCallId: string | undefined): void {
    const found = this.find(identifier);
    if (!found) return;
    ProgramTable.#withdrawUntil(found, lostCallId);
  }

  /** Forgets a program whose start the journal did not record. */
  withdrawStart(identifier: ProgramIdentifier): void {
    const found = this.find(identifier);
    found?.tree.remove(identifier.path);
    if (found?.tree.programs.length === 0) this.dropTree(identifier);
  }

  #start(record: RecordOf<'program-started'>): Result<undefined, string> {
    const { program: identifier, limits, sessionId } = record;
    const known = this.find(identifier)?.program;
    if (known?.sessionId === sessionId) return ok(undefined);
    if (known && known.history.length > 0 && !known.end) {
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

  #intend(record: RecordOf<'call-intended'>): Result<undefined, string> {
    const { kind, program: identifier, lostCallId, ...call } = record;
    const found = this.find(identifier);
    if (!found) return err(`${kind} for unknown program ${identifier.path}`);
    const { program, tree } = found;
    const isKnown = program.hasAttempt(call.callId) || call.sequence < program.history.length;
    if (isKnown) return ok(undefined);
    if (call.sequence > program.history.length) {
      return err(`sequence ${String(call.sequence)} of ${identifier.path} comes too early`);
    }
    ProgramTable.#withdrawUntil(found, lostCallId);
    const lost = program.current;
    if (lost?.callId !== lostCallId) return err(`lost attempt of ${identifier.path} is not known`);
    // An attempt that was lost with its owner may have spent all that it had reserved.
    if (lost) tree.budget.settle(lost.reservation, lost.reservation);
    tree.budget.reserve(call.reservation);
    program.intend(call);
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
    found.tree.within(identifier.path).forEach((program) => {
      program.endWith({ reason, endedAtMilliseconds });
      this.engineMemory.endSession(program.sessionId);
    });
    return ok(undefined);
  }

  #holdMemory(record: RecordOf<'memory-held'>): Result<undefined, string> {
    const program = this.find(record.program)?.program;
    const isCurrent = program?.sessionId === record.sessionId && !program.end;
    this.engineMemory.hold(record, !isCurrent);
    return ok(undefined);
  }

  #freeMemory(record: RecordOf<'memory-freed'>): Result<undefined, string> {
    this.engineMemory.free(record);
    return ok(undefined);
  }

  /**
   * Takes back the attempts after a given one, or all. Their owner never dispatched them, or a
   * record that follows would name them.
   */
  static #withdrawUntil({ program, tree }: FoundProgram, callId: string | undefined): void {
    while (program.current && program.current.callId !== callId) {
      tree.budget.settle(program.current.reservation, NO_USAGE);
      program.withdrawAttempt();
      if (program.current) tree.budget.reopen(program.current.reservation);
    }
  }
}

import { Budget } from './budget';
import type { ProgramTreeSnapshot } from './ledgerSnapshot';
import { Program } from './program';
import type { BudgetLimits } from './programRecord';
import { programPath } from './util/programPath';

/** A root program, its sub-agents and their shared budget. */
export class ProgramTree {
  readonly budget: Budget;

  readonly #rootPath: string;

  readonly #organisation: string;

  readonly #programs = new Map<string, Program>();

  constructor(root: Program, limits: BudgetLimits) {
    const { startedAtMilliseconds, program } = root;
    this.budget = new Budget({ limits, startedAtMilliseconds });
    this.#organisation = program.organisation;
    this.#rootPath = program.path;
    this.add(root);
  }

  /** Restores a tree; the reservations are those of the calls in progress. */
  static fromSnapshot(snapshot: ProgramTreeSnapshot): ProgramTree | undefined {
    const { organisation, limits, spent } = snapshot;
    const [root, ...others] = snapshot.programs.map((program) =>
      Program.fromSnapshot(organisation, program),
    );
    if (!root) return undefined;
    const tree = new ProgramTree(root, limits);
    tree.budget.addSpent(spent);
    others.forEach((program) => {
      tree.add(program);
    });
    tree.programs.forEach(({ current }) => {
      if (current) tree.budget.reserve(current.reservation);
    });
    return tree;
  }

  toSnapshot(): ProgramTreeSnapshot {
    return {
      organisation: this.#organisation,
      limits: this.budget.limits,
      spent: this.budget.spent,
      programs: [...this.#programs.values()].map((program) => program.toSnapshot()),
    };
  }

  get root(): Program | undefined {
    return this.#programs.get(this.#rootPath);
  }

  get programs(): readonly Program[] {
    return [...this.#programs.values()];
  }

  /** Time of the last intent or outcome in the tree. */
  get lastActivityMilliseconds(): number {
    return Math.max(...this.programs.map((program) => program.lastActivityMilliseconds));
  }

  find(path: string): Program | undefined {
    return this.#programs.get(path);
  }

  add(program: Program): void {
    this.#programs.set(program.program.path, program);
  }

  remove(path: string): void {
    this.#programs.delete(path);
  }

  /** Returns a program and all its descendants. */
  getSubtree(path: string): readonly Program[] {
    return this.programs.filter((program) => programPath.isWithin(program.program.path, path));
  }
}

import { CallQueue } from './callQueue';
import type { ScheduledCall } from './scheduledCall';
import type { TargetScores } from './targetScores';
import type { TargetTable } from './targetTable';
import type { TargetView } from './targetView';

const OUTPUT_SAMPLE_WEIGHT = 0.05;

/** Targets among which a call can be placed. */
export interface CandidateTargets {
  readonly targets: readonly TargetView[];
  /** Positions of the targets in the scores. */
  readonly positions: Int32Array;
  readonly scores: TargetScores;
  find(name: string): TargetView | undefined;
}

/** The targets of a route and a model, and the calls that wait for them. */
export class TargetPool implements CandidateTargets {
  readonly queue = new CallQueue();

  readonly model: string | undefined;

  readonly #table: TargetTable;

  #names: readonly string[] = [];

  #views = new Map<string, TargetView>();

  #targets: readonly TargetView[] = [];

  #positions = new Int32Array();

  #expectedOutputTokens: number;

  constructor(table: TargetTable, model: string | undefined, expectedOutputTokens: number) {
    this.#table = table;
    this.model = model;
    this.#expectedOutputTokens = expectedOutputTokens;
  }

  /** Targets that serve the model, including those that are leaving. */
  get targets(): readonly TargetView[] {
    return this.#targets;
  }

  get positions(): Int32Array {
    return this.#positions;
  }

  get scores(): TargetScores {
    return this.#table.scores;
  }

  find(name: string): TargetView | undefined {
    return this.#views.get(name);
  }

  /** Sets the route's targets; views are looked up again only if the names changed. */
  setTargetNames(names: readonly string[]): void {
    if (names === this.#names) return;
    const isSame =
      names.length === this.#names.length &&
      names.every((name, position) => name === this.#names[position]);
    this.#names = names;
    if (!isSame) this.rebuild();
  }

  /** Looks up the views again after a configuration or fleet change. */
  rebuild(): void {
    this.#targets = this.#names
      .map((name) => this.#table.view(name))
      .filter((view) => view?.serves(this.model) === true)
      .filter((view) => view !== undefined);
    this.#positions = Int32Array.from(this.#targets, ({ position }) => position);
    this.#views = new Map(this.#targets.map((view) => [view.name, view]));
    this.#ensureOneSlot();
  }

  /** Returns the targets that a call may use; excluded ones only if no other target is serving. */
  candidates(call: ScheduledCall): CandidateTargets {
    if (call.excludedTargets.length === 0) return this;
    const others = this.#targets.filter(
      (view) => view.isServing && !call.excludedTargets.includes(view.name),
    );
    if (others.length === 0) return this;
    const names = new Set(others.map(({ name }) => name));
    return {
      targets: others,
      positions: Int32Array.from(others, ({ position }) => position),
      scores: this.scores,
      find: (name) => (names.has(name) ? this.#views.get(name) : undefined),
    };
  }

  /** Whether any target accepts new calls, now or once a slot opens. */
  get hasServingTarget(): boolean {
    return this.#targets.some((view) => view.isServing);
  }

  /** Returns the expected output of a call, in tokens. */
  expectedOutputTokens({ maximumOutputTokens }: ScheduledCall): number {
    return Math.min(maximumOutputTokens, this.#expectedOutputTokens);
  }

  recordOutput(outputTokens: number): void {
    this.#expectedOutputTokens +=
      OUTPUT_SAMPLE_WEIGHT * (outputTokens - this.#expectedOutputTokens);
  }

  /**
   * Gives an instance without any share in the pool one slot, at the target that ranks it first;
   * otherwise its programs would never run. The concurrent calls in a pool are therefore bounded by
   * the sum of its windows or by the number of instances, whichever is larger.
   */
  #ensureOneSlot(): void {
    const serving = this.#targets.filter((view) => view.isServing);
    if (serving.length === 0 || serving.some((view) => view.share > 0)) return;
    const ranked = serving.map((view) => ({ view, rank: this.#table.rank(view.name) }));
    ranked.sort((one, other) => one.rank - other.rank);
    ranked[0]?.view.ensureOneSlot();
  }
}

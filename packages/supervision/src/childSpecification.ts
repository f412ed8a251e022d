/** What a running child gets from its supervisor. */
export interface ChildContext {
  /** Aborts when the child must stop; the child then returns when its work is done. */
  readonly signal: AbortSignal;
  /** Reports that the child is ready; the next sibling starts only then. */
  ready(): void;
}

/** One long-lived task of the supervisor tree. */
export interface ChildSpecification {
  /** Name among its siblings, used in logs and counters. */
  readonly name: string;
  /** Runs until the signal aborts or the task fails; a return before that counts as a failure. */
  run(context: ChildContext): Promise<void>;
  /** What follows when it ends by itself: `always` starts it again, `never` lets it go. */
  readonly restart: 'always' | 'never';
}

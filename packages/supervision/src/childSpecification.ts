/** Context that a supervisor passes to a running child. */
export interface ChildContext {
  /** Aborts when the child must stop; the child then finishes its work and returns. */
  readonly signal: AbortSignal;
  /** Reports that the child is ready; the next sibling starts only after this call. */
  ready(): void;
}

/** A long-running task in the supervisor tree. */
export interface ChildSpecification {
  /** Name that is unique among siblings, used in logs and counters. */
  readonly name: string;
  /**
   * Runs until the signal aborts or the task fails. With `always`, a return before the signal aborts
   * is treated as a failure.
   */
  run(context: ChildContext): Promise<void>;
  /** Restart policy when the task ends by itself: `always` restarts it, `never` does not. */
  readonly restart: 'always' | 'never';
}

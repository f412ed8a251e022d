import { RecentKeys } from '../util/recentKeys';

/** Maximum number of programs that are remembered; the earliest are forgotten first. */
const MAXIMUM_PROGRAMS = 20_000;

/**
 * What a process knows about programs to which an instance may have granted tokens. It is complete
 * if it includes every promise of this instance, by this or an earlier process, for a program that
 * may still run. Only a complete memory can tell that a program has no grant.
 */
export class GrantMemory {
  readonly #process: string;

  readonly #started = new RecentKeys(MAXIMUM_PROGRAMS);

  /** Process to which grants without the store are left, by the key of the budget. */
  readonly #promises = new Map<string, string>();

  #isComplete: boolean;

  /** `process` identifies this process among all processes of all instances. */
  constructor(process: string, isComplete: boolean) {
    this.#process = process;
    this.#isComplete = isComplete;
  }

  get process(): string {
    return this.#process;
  }

  get isComplete(): boolean {
    return this.#isComplete;
  }

  /** Keys of the budgets that are promised to some process, including this one. */
  get promisedKeys(): readonly string[] {
    return [...this.#promises.keys()];
  }

  /** Whether a program has started somewhere, or may have by a grant to another process. */
  mayHaveStarted(key: string, requester: string = this.#process): boolean {
    const promisedTo = this.#promises.get(key);
    return this.#started.has(key) || (promisedTo !== undefined && promisedTo !== requester);
  }

  recordStart(key: string): void {
    this.#started.add(key);
  }

  /**
   * Leaves the grants of a budget without the store to a process; returns false if that can't be
   * promised, as the program may have started or this memory is not complete.
   */
  promise(key: string, requester: string = this.#process): boolean {
    if (!this.#isComplete || this.mayHaveStarted(key, requester)) return false;
    this.#promises.set(key, requester);
    if (this.#promises.size > MAXIMUM_PROGRAMS) {
      const [oldest] = this.#promises.keys();
      if (oldest !== undefined) this.#promises.delete(oldest);
    }
    return true;
  }

  /** Declares that no earlier promise of this instance is missing any more. */
  markComplete(): void {
    this.#isComplete = true;
  }
}

import { RecentKeys } from '../util/recentKeys';

/** Maximum number of programs that are remembered; the earliest are forgotten first. */
const MAXIMUM_PROGRAMS = 20_000;

/** A promise to leave grants of a budget without the store to a process. */
export interface GrantPromise {
  readonly budgetKey: string;
  /** Process that the promise was given to; empty if an instance of an earlier version told it. */
  readonly process: string;
}

interface RememberedPromise {
  readonly process: string;
  readonly madeAtMilliseconds: number;
}

/**
 * What a process knows about programs to which an instance may have granted tokens. It is complete
 * if it includes every promise of this instance, by this or an earlier process, for a program that
 * may still run. Only a complete memory can tell that a program has no grant.
 */
export class GrantMemory {
  readonly #process: string;

  readonly #started = new RecentKeys(MAXIMUM_PROGRAMS);

  /** Promises of this and of other instances, by the key of the budget. */
  readonly #promises = new Map<string, RememberedPromise>();

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

  /** Returns the promises that were made or learned since a time, by `performance.now()`. */
  listPromises(sinceMilliseconds: number): readonly GrantPromise[] {
    return [...this.#promises]
      .filter(([, { madeAtMilliseconds }]) => madeAtMilliseconds >= sinceMilliseconds)
      .map(([budgetKey, { process }]) => ({ budgetKey, process }));
  }

  /** Whether a program has started somewhere, or may have by a grant to another process. */
  mayHaveStarted(key: string, requester: string = this.#process): boolean {
    if (this.#started.has(key)) return true;
    const promise = this.#promises.get(key);
    return promise !== undefined && (promise.process === '' || promise.process !== requester);
  }

  recordStart(key: string): void {
    this.#started.add(key);
  }

  /** Records a promise of another instance, which is passed on as those of this one are. */
  learnPromise({ budgetKey, process }: GrantPromise): void {
    const known = this.#promises.get(budgetKey);
    if (process === this.#process || known?.process === process) return;
    // Either process may have the promises of a majority.
    if (known) this.recordStart(budgetKey);
    else this.#recordPromise(budgetKey, process);
  }

  /**
   * Leaves the grants of a budget without the store to a process; returns false if that can't be
   * promised, as the program may have started or this memory is not complete.
   */
  promise(key: string, requester: string = this.#process): boolean {
    if (!this.#isComplete || this.mayHaveStarted(key, requester)) return false;
    this.#recordPromise(key, requester);
    return true;
  }

  /** Declares that no earlier promise of this instance is missing any more. */
  markComplete(): void {
    this.#isComplete = true;
  }

  #recordPromise(key: string, process: string): void {
    this.#promises.set(key, { process, madeAtMilliseconds: performance.now() });
    if (this.#promises.size <= MAXIMUM_PROGRAMS) return;
    const [oldest] = this.#promises.keys();
    if (oldest !== undefined) this.#promises.delete(oldest);
  }
}

import type { ProgramIdentifier } from './programRecord';
import { TurnQueue } from './turnQueue';
import type { TurnRefusal } from './turnQueue';
import { programKey } from './util/programKey';

/** Turns of all program paths of a partition; a path without calls costs nothing. */
export class LedgerTurns {
  readonly #maximumWaiting: number;

  readonly #queues = new Map<string, TurnQueue>();

  #onIdle: (() => void)[] = [];

  /** Creates turns with at most `maximumWaiting` calls waiting in each path. */
  constructor(maximumWaiting: number) {
    this.#maximumWaiting = maximumWaiting;
  }

  /** Waits for the turn of a path, which is then held until `leave`. */
  enter(
    program: ProgramIdentifier,
    signal: AbortSignal,
  ): ReturnType<InstanceType<typeof TurnQueue>['enter']> {
    const key = programKey(program);
    const queue = this.#queues.get(key) ?? new TurnQueue(this.#maximumWaiting);
    this.#queues.set(key, queue);
    return queue.enter(signal).then((entered) => {
      this.#forgetIdle(key);
      return entered;
    });
  }

  /** Passes the turn of a path on. */
  leave(program: ProgramIdentifier): void {
    const key = programKey(program);
    this.#queues.get(key)?.leave();
    this.#forgetIdle(key);
  }

  /** Whether a call of the path has its turn or waits for it. */
  isBusy(program: ProgramIdentifier): boolean {
    return this.#queues.has(programKey(program));
  }

  /** Refuses the calls that wait in one path. */
  refuseWaiting(program: ProgramIdentifier, refusal: TurnRefusal): void {
    this.#queues.get(programKey(program))?.refuseWaiting(refusal);
  }

  /** Refuses all calls that wait. */
  refuseAllWaiting(refusal: TurnRefusal): void {
    this.#queues.forEach((queue) => {
      queue.refuseWaiting(refusal);
    });
  }

  /** Resolves when no call has a turn or waits for one. */
  untilIdle(): Promise<void> {
    if (this.#queues.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle.push(resolve);
    });
  }

  #forgetIdle(key: string): void {
    if (this.#queues.get(key)?.isIdle) this.#queues.delete(key);
    if (this.#queues.size > 0) return;
    this.#onIdle.forEach((resolve) => {
      resolve();
    });
    this.#onIdle = [];
  }
}

import type { ProgramIdentifier } from './programRecord';
import { TurnQueue } from './turnQueue';
import type { TurnRefusal } from './turnQueue';
import { programKey } from './util/programKey';

/** Turns of all program paths of a partition; a path without calls needs no memory. */
export class LedgerTurns {
  readonly #maximumWaiting: number;

  readonly #queues = new Map<string, TurnQueue>();

  #idleListeners: (() => void)[] = [];

  /** Creates turns with at most `maximumWaiting` waiting calls per path. */
  constructor(maximumWaiting: number) {
    this.#maximumWaiting = maximumWaiting;
  }

  /** Waits for the turn of a path, which is then held until `release`. */
  acquire(
    program: ProgramIdentifier,
    signal: AbortSignal,
  ): ReturnType<InstanceType<typeof TurnQueue>['acquire']> {
    const key = programKey(program);
    const queue = this.#queues.get(key) ?? new TurnQueue(this.#maximumWaiting);
    this.#queues.set(key, queue);
    return queue.acquire(signal).then((acquired) => {
      this.#removeIfIdle(key);
      return acquired;
    });
  }

  /** Releases the turn of a path to the next waiting call. */
  release(program: ProgramIdentifier): void {
    const key = programKey(program);
    this.#queues.get(key)?.release();
    this.#removeIfIdle(key);
  }

  /** Returns whether a call of the path holds its turn or waits for it. */
  isBusy(program: ProgramIdentifier): boolean {
    return this.#queues.has(programKey(program));
  }

  /** Refuses the waiting calls of one path. */
  refuseWaiting(program: ProgramIdentifier, refusal: TurnRefusal): void {
    this.#queues.get(programKey(program))?.refuseWaiting(refusal);
  }

  /** Refuses all waiting calls. */
  refuseAllWaiting(refusal: TurnRefusal): void {
    this.#queues.forEach((queue) => {
      queue.refuseWaiting(refusal);
    });
  }

  /** Resolves when no call holds a turn or waits for one. */
  waitUntilIdle(): Promise<void> {
    if (this.#queues.size === 0) return Promise.resolve();
    return new Promise((resolve) => {
      this.#idleListeners.push(resolve);
    });
  }

  #removeIfIdle(key: string): void {
    if (this.#queues.get(key)?.isIdle) this.#queues.delete(key);
    if (this.#queues.size > 0) return;
    this.#idleListeners.forEach((resolve) => {
      resolve();
    });
    this.#idleListeners = [];
  }
}

import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallRefusal } from './callStart';

/** Why a call did not acquire its turn. */
export type TurnRefusal = Pick<CallRefusal, 'problem' | 'detail'>;

interface Waiter {
  readonly settle: (result: Result<undefined, TurnRefusal>) => void;
}

const CANCELLED: TurnRefusal = { problem: 'cancelled', detail: 'the caller cancelled the call' };

/** Grants the turn of one program path to one call at a time, in order of arrival. */
export class TurnQueue {
  readonly #maximumWaiting: number;

  #isHeld = false;

  #waiting: readonly Waiter[] = [];

  /** Creates a queue with at most `maximumWaiting` waiting calls. */
  constructor(maximumWaiting: number) {
    this.#maximumWaiting = maximumWaiting;
  }

  /** Whether no call holds the turn or waits for it. */
  get isIdle(): boolean {
    return !this.#isHeld && this.#waiting.length === 0;
  }

  /** Waits for the turn, which is then held until `release`. */
  async acquire(signal: AbortSignal): Promise<Result<undefined, TurnRefusal>> {
    if (signal.aborted) return err(CANCELLED);
    if (!this.#isHeld) {
      this.#isHeld = true;
      return ok(undefined);
    }
    if (this.#waiting.length >= this.#maximumWaiting) {
      return err({ problem: 'queue-full', detail: 'too many calls of the program are waiting' });
    }
    return this.#wait(signal);
  }

  /** Releases the turn to the first waiting call. */
  release(): void {
    const [next, ...others] = this.#waiting;
    this.#waiting = others;
    this.#isHeld = next !== undefined;
    next?.settle(ok(undefined));
  }

  /** Refuses all waiting calls; the holder keeps the turn. */
  refuseWaiting(refusal: TurnRefusal): void {
    const refused = this.#waiting;
    this.#waiting = [];
    refused.forEach((waiter) => {
      waiter.settle(err(refusal));
    });
  }

  #wait(signal: AbortSignal): Promise<Result<undefined, TurnRefusal>> {
    return new Promise((resolve) => {
      const waiter: Waiter = { settle: resolve };
      const cancel = (): void => {
        this.#waiting = this.#waiting.filter((other) => other !== waiter);
        resolve(err(CANCELLED));
      };
      signal.addEventListener('abort', cancel, { once: true });
      this.#waiting = [...this.#waiting, waiter];
    });
  }
}

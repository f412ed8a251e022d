import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { CallRefusal } from './callStart';

/** Why a call got no turn. */
export type TurnRefusal = Pick<CallRefusal, 'problem' | 'detail'>;

interface Waiter {
  readonly settle: (result: Result<undefined, TurnRefusal>) => void;
}

const CANCELLED: TurnRefusal = { problem: 'cancelled', detail: 'the caller cancelled the call' };

/** Gives the turns of one program path, one at a time in the order of arrival. */
export class TurnQueue {
  readonly #maximumWaiting: number;

  #isHeld = false;

  #waiting: readonly Waiter[] = [];

  /** Creates a queue in which at most `maximumWaiting` calls wait. */
  constructor(maximumWaiting: number) {
    this.#maximumWaiting = maximumWaiting;
  }

  /** Whether nobody holds the turn or waits for it. */
  get isIdle(): boolean {
    return !this.#isHeld && this.#waiting.length === 0;
  }

  /** Waits for the turn, which is then held until `leave`. */
  async enter(signal: AbortSignal): Promise<Result<undefined, TurnRefusal>> {
    if (signal.aborted) return err(CANCELLED);
    if (!this.#isHeld) {
      this.#isHeld = true;
      return ok(undefined);
    }
    if (this.#waiting.length >= this.#maximumWaiting) {
      return err({ problem: 'queue-full', detail: 'too many calls of the program wait' });
    }
    return this.#wait(signal);
  }

  /** Passes the turn on to the first that waits. */
  leave(): void {
    const [next, ...others] = this.#waiting;
    this.#waiting = others;
    this.#isHeld = next !== undefined;
    next?.settle(ok(undefined));
  }

  /** Refuses all that wait; the turn stays with its holder. */
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

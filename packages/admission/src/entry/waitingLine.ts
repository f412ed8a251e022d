import { Deferred } from '@limpetnotch/supervision';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import type { AdmissionError } from '../admissionError';

interface Waiter {
  readonly joinedMilliseconds: number;
  readonly outcome: Deferred<Result<void, AdmissionError>>;
  deadlineMilliseconds: number;
  timer: NodeJS.Timeout | undefined;
}

/** Returns the expected wait, in milliseconds, of a request with so many others ahead of it. */
export type ExpectedWait = (ahead: number) => number;

/** Requests of one organisation that wait for tokens, first come first served. */
export class WaitingLine {
  readonly #waiters = new Set<Waiter>();

  readonly #expectedWait: ExpectedWait;

  constructor(expectedWait: ExpectedWait) {
    this.#expectedWait = expectedWait;
  }

  get size(): number {
    return this.#waiters.size;
  }

  /** Waits for a token; refused when the hold is over or the signal aborts. */
  async join(holdMilliseconds: number, signal: AbortSignal): Promise<Result<void, AdmissionError>> {
    const now = performance.now();
    const waiter: Waiter = {
      joinedMilliseconds: now,
      outcome: new Deferred(),
      deadlineMilliseconds: now + holdMilliseconds,
      timer: undefined,
    };
    const leave = (): void => this.#refuse(waiter, 0);
    this.#waiters.add(waiter);
    this.#arm(waiter);
    signal.addEventListener('abort', leave, { once: true });
    const outcome = await waiter.outcome.promise;
    signal.removeEventListener('abort', leave);
    return outcome;
  }

  /** Lets requests in while there are tokens. */
  serve(take: () => boolean): void {
    for (const waiter of this.#waiters) {
      if (!take()) return;
      this.#settle(waiter, ok(undefined));
    }
  }

  /** Refuses at once the requests whose expected wait goes beyond their deadline. */
  refuseHopeless(): void {
    const now = performance.now();
    let ahead = 0;
    for (const waiter of this.#waiters) {
      const wait = this.#expectedWait(ahead);
      if (now + wait > waiter.deadlineMilliseconds) this.#refuse(waiter, wait);
      else ahead += 1;
    }
  }

  /** Lets every request wait for so long since it joined, where that is longer. */
  extend(holdMilliseconds: number): void {
    for (const waiter of this.#waiters) {
      const extended = waiter.joinedMilliseconds + holdMilliseconds;
      waiter.deadlineMilliseconds = Math.max(waiter.deadlineMilliseconds, extended);
    }
  }

  /** Refuses every request. */
  refuseAll(retryAfterMilliseconds: number): void {
    for (const waiter of this.#waiters) this.#refuse(waiter, retryAfterMilliseconds);
  }

  #arm(waiter: Waiter): void {
    const left = Math.max(0, waiter.deadlineMilliseconds - performance.now());
    Object.assign(waiter, { timer: setTimeout(() => this.#expire(waiter), Math.ceil(left)) });
  }

  #expire(waiter: Waiter): void {
    if (performance.now() < waiter.deadlineMilliseconds) this.#arm(waiter);
    else this.#refuse(waiter, this.#expectedWait(this.#aheadOf(waiter)));
  }

  #aheadOf(waiter: Waiter): number {
    return [...this.#waiters].indexOf(waiter);
  }

  #refuse(waiter: Waiter, waitMilliseconds: number): void {
    const retryAfterMilliseconds = Math.max(1, Math.ceil(waitMilliseconds));
    this.#settle(waiter, err({ kind: 'rate-exceeded', retryAfterMilliseconds }));
  }

  #settle(waiter: Waiter, outcome: Result<void, AdmissionError>): void {
    this.#waiters.delete(waiter);
    clearTimeout(waiter.timer);
    waiter.outcome.resolve(outcome);
  }
}

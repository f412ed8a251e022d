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

/** Returns the expected wait, in milliseconds, of a request with the given number ahead of it. */
export type ExpectedWait = (ahead: number) => number;

/** Requests of one organisation that wait for tokens, in FIFO order. */
export class WaitQueue {
  readonly #waiters = new Set<Waiter>();

  readonly #expectedWait: ExpectedWait;

  constructor(expectedWait: ExpectedWait) {
    this.#expectedWait = expectedWait;
  }

  get size(): number {
    return this.#waiters.size;
  }

  /** Waits for a token; fails once the maximum wait has elapsed or when the signal aborts. */
  async enqueue(
    holdMilliseconds: number,
    signal: AbortSignal,
  ): Promise<Result<void, AdmissionError>> {
    const now = performance.now();
    const waiter: Waiter = {
      joinedMilliseconds: now,
      outcome: new Deferred(),
      deadlineMilliseconds: now + holdMilliseconds,
      timer: undefined,
    };
    const reject = (): void => this.#reject(waiter, 0);
    this.#waiters.add(waiter);
    this.#startTimer(waiter);
    signal.addEventListener('abort', reject, { once: true });
    const outcome = await waiter.outcome.promise;
    signal.removeEventListener('abort', reject);
    return outcome;
  }

  /** Admits requests while tokens are available. */
  serve(tryAcquire: () => boolean): void {
    for (const waiter of this.#waiters) {
      if (!tryAcquire()) return;
      this.#settle(waiter, ok(undefined));
    }
  }

  /** Rejects the requests whose expected wait goes beyond their deadline. */
  rejectBeyondDeadline(): void {
    const now = performance.now();
    let ahead = 0;
    for (const waiter of this.#waiters) {
      const wait = this.#expectedWait(ahead);
      if (now + wait > waiter.deadlineMilliseconds) this.#reject(waiter, wait);
      else ahead += 1;
    }
  }

  /** Raises every request's maximum wait, counted from its arrival, to at least the given time. */
  extend(holdMilliseconds: number): void {
    for (const waiter of this.#waiters) {
      const extended = waiter.joinedMilliseconds + holdMilliseconds;
      waiter.deadlineMilliseconds = Math.max(waiter.deadlineMilliseconds, extended);
    }
  }

  /** Rejects every waiting request. */
  rejectAll(retryAfterMilliseconds: number): void {
    for (const waiter of this.#waiters) this.#reject(waiter, retryAfterMilliseconds);
  }

  #startTimer(waiter: Waiter): void {
    const remaining = Math.max(0, waiter.deadlineMilliseconds - performance.now());
    Object.assign(waiter, { timer: setTimeout(() => this.#expire(waiter), Math.ceil(remaining)) });
  }

  #expire(waiter: Waiter): void {
    if (performance.now() < waiter.deadlineMilliseconds) this.#startTimer(waiter);
    else this.#reject(waiter, this.#expectedWait(this.#countAhead(waiter)));
  }

  #countAhead(waiter: Waiter): number {
    return [...this.#waiters].indexOf(waiter);
  }

  #reject(waiter: Waiter, waitMilliseconds: number): void {
    const retryAfterMilliseconds = Math.max(1, Math.ceil(waitMilliseconds));
    this.#settle(waiter, err({ kind: 'rate-exceeded', retryAfterMilliseconds }));
  }

  #settle(waiter: Waiter, outcome: Result<void, AdmissionError>): void {
    this.#waiters.delete(waiter);
    clearTimeout(waiter.timer);
    waiter.outcome.resolve(outcome);
  }
}

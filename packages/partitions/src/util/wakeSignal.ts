import { delay, Deferred } from '@limpetnotch/supervision';

/** Wakes one waiting task; a wake without a waiting task ends the next wait at once. */
export class WakeSignal {
  #pending = false;

  #waiter: Deferred | undefined;

  wake(): void {
    this.#pending = true;
    this.#waiter?.resolve(undefined);
  }

  /**
   * Resolves at the next wake, after the given time, or when the signal aborts, whichever is first.
   */
  async wait(signal: AbortSignal, milliseconds?: number): Promise<void> {
    const finished = new AbortController();
    const finish = (): void => finished.abort();
    signal.addEventListener('abort', finish, { once: true });
    if (!this.#pending && !signal.aborted) {
      const waiter = new Deferred();
      this.#waiter = waiter;
      finished.signal.addEventListener('abort', () => waiter.resolve(undefined), { once: true });
      const timeout = milliseconds === undefined ? [] : [delay(milliseconds, finished.signal)];
      await Promise.race([waiter.promise, ...timeout]);
      this.#waiter = undefined;
    }
    signal.removeEventListener('abort', finish);
    finished.abort();
    this.#pending = false;
  }
}

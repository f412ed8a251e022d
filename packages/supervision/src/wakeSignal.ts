import { Deferred } from './deferred';

/** Lets a task wait until it is woken. */
export class WakeSignal {
  #woken = new Deferred();

  /** Ends the wait under way; has no effect on later ones. */
  wake(): void {
    this.#woken.resolve(undefined);
  }

  /** Waits until woken, or until a signal aborts. */
  async wait(signal: AbortSignal): Promise<void> {
    if (signal.aborted) return;
    const woken = new Deferred();
    const finish = (): void => woken.resolve(undefined);
    this.#woken = woken;
    // A race with a promise of the signal would keep memory for each wait until the signal aborts.
    signal.addEventListener('abort', finish, { once: true });
    await woken.promise;
    signal.removeEventListener('abort', finish);
  }
}

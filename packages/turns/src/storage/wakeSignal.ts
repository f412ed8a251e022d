import { delay } from '@limpetnotch/supervision';

/** Ends a wait of another task early. */
export class WakeSignal {
  #woken = new AbortController();

  wake(): void {
    this.#woken.abort();
  }

  /** Waits for a number of milliseconds, or until woken since the last wait or aborted. */
  async wait(milliseconds: number, signal: AbortSignal): Promise<void> {
    const stop = (): void => this.#woken.abort();
    signal.addEventListener('abort', stop, { once: true });
    if (!signal.aborted) await delay(milliseconds, this.#woken.signal);
    signal.removeEventListener('abort', stop);
    this.#woken = new AbortController();
  }
}

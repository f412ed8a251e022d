import type { ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';

const TICK_MILLISECONDS = 100;

/** Longer than a process that runs is late with a tick. */
const STALL_MILLISECONDS = 500;

/** Tells when the process last stood still, for example as it was suspended. */
export class StallClock {
  #tickedAtMilliseconds: number | undefined;

  #stalledUntilMilliseconds = -Infinity;

  get task(): ChildSpecification {
    return {
      name: 'stall-clock',
      restart: 'always',
      run: async ({ signal, ready }) => {
        ready();
        while (!signal.aborted) {
          this.#check();
          this.#tickedAtMilliseconds = performance.now();
          await delay(TICK_MILLISECONDS, signal);
        }
        this.#tickedAtMilliseconds = undefined;
      },
    };
  }

  /** End of the last stall, by `performance.now()`; -Infinity if there was none. */
  get stalledUntilMilliseconds(): number {
    // What is handled right after a stall may come before the next tick.
    this.#check();
    return this.#stalledUntilMilliseconds;
  }

  #check(): void {
    const now = performance.now();
    const hasStalled = now - (this.#tickedAtMilliseconds ?? now) > STALL_MILLISECONDS;
    if (hasStalled) this.#stalledUntilMilliseconds = now;
  }
}

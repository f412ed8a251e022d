import { setImmediate as waitForNextTurn } from 'node:timers/promises';

/** Time that work on responses may take in one turn of the event loop. */
const MAXIMUM_TURN_MILLISECONDS = 5;

/** Bounds the work of one turn of the event loop over all tasks that share it. */
class LoopTurn {
  #startedAtMilliseconds: number | undefined;

  /** Waits for the next turn of the loop if this one has taken long; to be called between pieces. */
  async yieldIfLong(): Promise<void> {
    const now = performance.now();
    if (this.#startedAtMilliseconds === undefined) {
      this.#startedAtMilliseconds = now;
      setImmediate(() => {
        this.#startedAtMilliseconds = undefined;
      });
      return;
    }
    if (now - this.#startedAtMilliseconds > MAXIMUM_TURN_MILLISECONDS) await waitForNextTurn();
  }
}

/** The turn of this process's event loop. */
export const loopTurn = new LoopTurn();

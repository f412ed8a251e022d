import type { ScheduledEvent } from './eventHeap';
import { EventHeap } from './eventHeap';

const realSetImmediate = setImmediate;

/** Lets every task that is ready go on as far as it can. */
const settleTasks = (): Promise<void> =>
  new Promise((resolve) => {
    realSetImmediate(resolve);
  });

/**
 * Replaces the runtime's clock and timers, so that hours of a run take seconds. It exists beside
 * the test libraries' fake timers because those wait a real millisecond for each event.
 */
export class VirtualClock {
  readonly #events = new EventHeap();

  #now = 0;

  #order = 0;

  now(): number {
    return this.#now;
  }

  /** Runs an action after a time; it returns whether tasks may have become ready to go on. */
  schedule(milliseconds: number, action: () => boolean): ScheduledEvent {
    this.#order += 1;
    const atMilliseconds = this.#now + Math.max(0, milliseconds);
    const event = { atMilliseconds, order: this.#order, action, cancelled: false };
    this.#events.push(event);
    return event;
  }

  /** Runs events in order until the task ends, with the runtime's clock replaced meanwhile. */
  async run(task: () => Promise<void>): Promise<void> {
    const restore = this.#replaceRuntimeClock();
    let isDone = false;
    const finished = task().finally(() => {
      isDone = true;
    });
    try {
      await settleTasks();
      while (!isDone) await this.#runNext();
    } finally {
      restore();
    }
    await finished;
  }

  async #runNext(): Promise<void> {
    const event = this.#events.pop();
    if (!event) throw new Error('the experiment waits for something that never happens');
    if (event.cancelled) return;
    this.#now = event.atMilliseconds;
    if (event.action()) await settleTasks();
  }

  #replaceRuntimeClock(): () => void {
    const { setTimeout: realSetTimeout, clearTimeout: realClearTimeout } = globalThis;
    const realNow = performance.now;
    const realDateNow = Date.now;
    const setVirtualTimeout = (callback: () => void, milliseconds = 0): ScheduledEvent =>
      this.schedule(milliseconds, () => {
        callback();
        return true;
      });
    const clearVirtualTimeout = (event: ScheduledEvent | undefined): void => {
      if (event) Object.assign(event, { cancelled: true });
    };
    Object.assign(globalThis, { setTimeout: setVirtualTimeout, clearTimeout: clearVirtualTimeout });
    Object.assign(performance, { now: () => this.#now });
    Date.now = () => this.#now;
    return () => {
      Object.assign(globalThis, { setTimeout: realSetTimeout, clearTimeout: realClearTimeout });
      Object.assign(performance, { now: realNow });
      Date.now = realDateNow;
    };
  }
}

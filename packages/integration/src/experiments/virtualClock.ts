import type { ScheduledEvent } from './eventHeap';
import { EventHeap } from './eventHeap';

const realSetImmediate = setImmediate;

/** Lets all ready tasks run until they wait again. */
const settleTasks = (): Promise<void> =>
  new Promise((resolve) => {
    realSetImmediate(resolve);
  });

/**
 * Replaces the runtime's clock and timers, so that hours of virtual time take seconds. The fake
 * timers of test libraries are too slow because they wait a real millisecond for each event.
 */
export class VirtualClock {
  readonly #events = new EventHeap();

  #now = 0;

  #order = 0;

  now(): number {
    return this.#now;
  }

  /** Schedules an action, which returns whether it may have made tasks ready to continue. */
  schedule(milliseconds: number, action: () => boolean): ScheduledEvent {
    this.#order += 1;
    const atMilliseconds = this.#now + Math.max(0, milliseconds);
    const event = { atMilliseconds, order: this.#order, action, cancelled: false };
    this.#events.push(event);
    return event;
  }

  /** Replaces the runtime's clock and runs events in order until the task ends. */
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
    if (!event) throw new Error('the task has not finished, but no events are scheduled');
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

import type { WaitingCall } from './waitingCall';

/** Waiting calls of one pool by organisation, oldest first. */
export class CallQueue {
  readonly #calls = new Map<string, WaitingCall[]>();

  #size = 0;

  get size(): number {
    return this.#size;
  }

  /** Organisations with waiting calls. */
  organisations(): Iterable<string> {
    return this.#calls.keys();
  }

  getCalls(organisation: string): readonly WaitingCall[] {
    return this.#calls.get(organisation) ?? [];
  }

  /** Returns the oldest calls across all organisations. */
  inArrivalOrder(count: number): readonly WaitingCall[] {
    return [...this.#calls.values()]
      .flatMap((calls) => calls.slice(0, count))
      .sort((one, other) => one.arrivalNumber - other.arrivalNumber)
      .slice(0, count);
  }

  all(): readonly WaitingCall[] {
    return [...this.#calls.values()].flat();
  }

  add(waiting: WaitingCall): void {
    const { organisation } = waiting.call;
    const calls = this.#calls.get(organisation);
    if (calls) calls.push(waiting);
    else this.#calls.set(organisation, [waiting]);
    this.#size += 1;
  }

  /** Removes a call; returns whether it was queued. */
  remove(waiting: WaitingCall): boolean {
    const calls = this.#calls.get(waiting.call.organisation) ?? [];
    const position = calls.indexOf(waiting);
    if (position < 0) return false;
    calls.splice(position, 1);
    if (calls.length === 0) this.#calls.delete(waiting.call.organisation);
    this.#size -= 1;
    return true;
  }
}

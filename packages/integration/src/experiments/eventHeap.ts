/** An action scheduled at a virtual time. */
export interface ScheduledEvent {
  readonly atMilliseconds: number;
  /** Breaks ties between events at the same time. */
  readonly order: number;
  /** Runs the event; returns whether it may have made tasks ready to continue. */
  readonly action: () => boolean;
  cancelled: boolean;
}

const isBefore = (one: ScheduledEvent, other: ScheduledEvent): boolean =>
  one.atMilliseconds < other.atMilliseconds ||
  (one.atMilliseconds === other.atMilliseconds && one.order < other.order);

/** Binary min-heap of events, ordered by time. */
export class EventHeap {
  readonly #events: ScheduledEvent[] = [];

  get size(): number {
    return this.#events.length;
  }

  push(event: ScheduledEvent): void {
    let position = this.#events.length;
    this.#events.push(event);
    while (position > 0) {
      const parentPosition = (position - 1) >> 1;
      const parent = this.#events[parentPosition];
      if (!parent || isBefore(parent, event)) break;
      this.#events[position] = parent;
      position = parentPosition;
    }
    this.#events[position] = event;
  }

  pop(): ScheduledEvent | undefined {
    const [first] = this.#events;
    const last = this.#events.pop();
    if (last && this.#events.length > 0) this.#siftDown(last);
    return first;
  }

  #siftDown(event: ScheduledEvent): void {
    let position = 0;
    for (;;) {
      const next = this.#findEarlierChild(position);
      const child = this.#events[next];
      if (!child || isBefore(event, child)) break;
      this.#events[position] = child;
      position = next;
    }
    this.#events[position] = event;
  }

  #findEarlierChild(position: number): number {
    const left = 2 * position + 1;
    const [one, other] = [this.#events[left], this.#events[left + 1]];
    return one && other && isBefore(other, one) ? left + 1 : left;
  }
}

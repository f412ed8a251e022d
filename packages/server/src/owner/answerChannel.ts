import { Deferred } from '@limpetnotch/supervision';

const HIGH_WATER_BYTES = 256 * 1024;

/** Item of an {@link AnswerChannel} with its weight for backpressure. */
interface Queued<Item> {
  readonly item: Item;
  readonly bytes: number;
}

/**
 * Carries the events of one call from the task that runs it to the one that relays it. The running
 * task waits when the reader is slow; it no longer waits once the reader is gone, so that the call
 * goes on without it.
 */
export class AnswerChannel<Item> implements AsyncIterable<Item> {
  readonly #queue: Queued<Item>[] = [];

  #bytes = 0;

  #closed = false;

  #detached = false;

  #readable = new Deferred();

  #writable = new Deferred();

  /** Adds an event; resolves when the reader has room for more. */
  async push(item: Item, bytes = 0): Promise<void> {
    if (this.#detached) return;
    this.#queue.push({ item, bytes });
    this.#bytes += bytes;
    this.#readable.resolve(undefined);
    while (this.#bytes > HIGH_WATER_BYTES && !this.#detached) {
      await this.#writable.promise;
    }
  }

  /** Ends the iteration after the events so far. */
  close(): void {
    this.#closed = true;
    this.#readable.resolve(undefined);
  }

  /** Ends the iteration and drops all events from now on: the reader is gone. */
  detach(): void {
    this.#detached = true;
    this.#queue.length = 0;
    this.#writable.resolve(undefined);
    this.close();
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Item> {
    try {
      while (true) {
        const next = this.#queue.shift();
        if (next) {
          this.#release(next.bytes);
          yield next.item;
        } else if (this.#closed) {
          return;
        } else {
          await this.#readable.promise;
          this.#readable = new Deferred();
        }
      }
    } finally {
      this.detach();
    }
  }

  #release(bytes: number): void {
    this.#bytes -= bytes;
    if (this.#bytes > HIGH_WATER_BYTES) return;
    this.#writable.resolve(undefined);
    this.#writable = new Deferred();
  }
}

import { Deferred } from '@limpetnotch/supervision';

const HIGH_WATER_MARK_BYTES = 256 * 1024;

/** Item of an {@link AnswerChannel} with the size that counts towards backpressure. */
interface QueuedItem<Item> {
  readonly item: Item;
  readonly bytes: number;
}

/**
 * Carries the events of one call from the task that runs it to the task that relays it. The writer
 * waits while the reader is slow, but no longer waits once the reader has disconnected, so that the
 * call continues without a reader.
 */
export class AnswerChannel<Item> implements AsyncIterable<Item> {
  readonly #queue: QueuedItem<Item>[] = [];

  #queuedBytes = 0;

  #closed = false;

  #detached = false;

  #readable = new Deferred();

  #writable = new Deferred();

  /** Adds an event; resolves when the queue is below the high-water mark. */
  async push(item: Item, bytes = 0): Promise<void> {
    if (this.#detached) return;
    this.#queue.push({ item, bytes });
    this.#queuedBytes += bytes;
    this.#readable.resolve(undefined);
    while (this.#queuedBytes > HIGH_WATER_MARK_BYTES && !this.#detached) {
      await this.#writable.promise;
    }
  }

  /** Ends the iteration after the queued events. */
  close(): void {
    this.#closed = true;
    this.#readable.resolve(undefined);
  }

  /** Ends the iteration and drops queued and later events, as the reader has disconnected. */
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
          this.#releaseBytes(next.bytes);
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

  #releaseBytes(bytes: number): void {
    this.#queuedBytes -= bytes;
    if (this.#queuedBytes > HIGH_WATER_MARK_BYTES) return;
    this.#writable.resolve(undefined);
    this.#writable = new Deferred();
  }
}

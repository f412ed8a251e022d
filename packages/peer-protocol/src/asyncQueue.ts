import { Deferred } from '@limpetnotch/supervision';

/** Unbounded queue that one task fills and another reads as an async iterable. */
export class AsyncQueue<Item> implements AsyncIterable<Item> {
  readonly #items: Item[] = [];

  #closed = false;

  #wake = new Deferred();

  /** Adds an item; items added after `close` are dropped. */
  push(item: Item): void {
    if (this.#closed) return;
    this.#items.push(item);
    this.#wake.resolve(undefined);
  }

  /** Ends the iteration after all queued items have been read. */
  close(): void {
    this.#closed = true;
    this.#wake.resolve(undefined);
  }

  /** Number of items not yet read. */
  get length(): number {
    return this.#items.length;
  }

  async *[Symbol.asyncIterator](): AsyncIterator<Item> {
    while (true) {
      const item = this.#items.shift();
      if (item !== undefined) {
        yield item;
      } else if (this.#closed) {
        return;
      } else {
        await this.#wake.promise;
        this.#wake = new Deferred();
      }
    }
  }
}

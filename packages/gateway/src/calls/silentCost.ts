import type { StreamEvent } from './eventStreamReader';

/** Events without data in a row, such as comments; legitimate streams send one in seconds. */
const MAXIMUM_EVENTS = 1_000;

/** Bytes of such events in a row. */
const MAXIMUM_BYTES = 64 * 1024;

/** What a stream has cost since its last event with data. */
export class SilentCost {
  #events = 0;

  #bytes = 0;

  /** Whether the stream has cost more than one without data may. */
  get isExceeded(): boolean {
    return this.#events > MAXIMUM_EVENTS || this.#bytes > MAXIMUM_BYTES;
  }

  record({ bytes, hasData }: StreamEvent): void {
    this.#events = hasData ? 0 : this.#events + 1;
    this.#bytes = hasData ? 0 : this.#bytes + bytes.length;
  }
}

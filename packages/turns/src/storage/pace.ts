import { delay } from '@limpetnotch/supervision';

const MILLISECONDS_PER_SECOND = 1_000;

/** Result of an operation, and the bytes that it transferred. */
export interface TransferredValue<Value> {
  readonly value: Value;
  readonly bytes: number;
}

/** Runs transfers one after the other, at most at a number of bytes per second. */
export class Pace {
  readonly #bytesPerSecond: number;

  #last: Promise<unknown> = Promise.resolve();

  constructor(bytesPerSecond: number) {
    this.#bytesPerSecond = bytesPerSecond;
  }

  async run<Value>(transfer: () => Promise<TransferredValue<Value>>): Promise<Value> {
    const previous = this.#last;
    const own = previous.then(transfer);
    this.#last = own.then(
      ({ bytes }) => delay((bytes / this.#bytesPerSecond) * MILLISECONDS_PER_SECOND),
      () => undefined,
    );
    return (await own).value;
  }
}

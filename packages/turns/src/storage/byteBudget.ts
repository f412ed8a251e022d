import { Deferred } from '@limpetnotch/supervision';

/** Waiting for room in a {@link ByteBudget}. */
interface Waiter {
  readonly bytes: number;
  readonly granted: Deferred<boolean>;
}

/** Options of a {@link ByteBudget}. */
export interface ByteBudgetOptions {
  /** Bytes that may be held at the same time. */
  readonly bytes: number;
  /** Calls that may wait for room. */
  readonly waiters: number;
  /** Longest time for which a call waits. */
  readonly waitMilliseconds: number;
}

/** Bounds the bytes of messages that are held at the same time; calls beyond it wait in order. */
export class ByteBudget {
  readonly #options: ByteBudgetOptions;

  readonly #waiters: Waiter[] = [];

  #heldBytes = 0;

  constructor(options: ByteBudgetOptions) {
    this.#options = options;
  }

  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Acquires bytes; resolves to false if there was no room in time. */
  async acquire(bytes: number): Promise<boolean> {
    const { waiters, waitMilliseconds } = this.#options;
    if (this.#waiters.length === 0 && this.#hasRoom(bytes)) {
      this.#heldBytes += bytes;
      return true;
    }
    if (this.#waiters.length >= waiters) return false;
    const waiter: Waiter = { bytes, granted: new Deferred() };
    this.#waiters.push(waiter);
    const timer = setTimeout(() => this.#abandon(waiter), waitMilliseconds);
    const isGranted = await waiter.granted.promise;
    clearTimeout(timer);
    return isGranted;
  }

  release(bytes: number): void {
    this.#heldBytes -= bytes;
    this.#grant();
  }

  #abandon(waiter: Waiter): void {
    const position = this.#waiters.indexOf(waiter);
    if (position < 0) return;
    this.#waiters.splice(position, 1);
    waiter.granted.resolve(false);
    this.#grant();
  }

  #grant(): void {
    for (let next = this.#waiters[0]; next && this.#hasRoom(next.bytes); [next] = this.#waiters) {
      this.#waiters.shift();
      this.#heldBytes += next.bytes;
      next.granted.resolve(true);
    }
  }

  /** A single message is accepted whatever its size, which its sender bounds. */
  #hasRoom(bytes: number): boolean {
    return this.#heldBytes === 0 || this.#heldBytes + bytes <= this.#options.bytes;
  }
}

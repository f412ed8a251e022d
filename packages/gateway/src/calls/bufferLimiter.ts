/** Limits the bytes that an instance buffers for all responses that it sends only when complete. */
export class BufferLimiter {
  readonly #maximumBytes: number;

  #bytes = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Bytes buffered now. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Reserves bytes; returns false, and reserves none, if they would exceed the limit. */
  tryReserve(bytes: number): boolean {
    if (this.#bytes + bytes > this.#maximumBytes) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Releases reserved bytes. */
  release(bytes: number): void {
    this.#bytes -= bytes;
  }
}

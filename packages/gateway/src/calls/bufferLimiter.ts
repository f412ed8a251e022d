/** Accounting of all memory of the instance, which the buffered bytes are a part of. */
export interface BufferAccount {
  /** Returns false, and reserves none, if the memory is needed otherwise. */
  tryReserve(bytes: number): boolean;
  release(bytes: number): void;
}

/** Limits the bytes that an instance buffers for all responses that it sends only when complete. */
export class BufferLimiter {
  readonly #maximumBytes: number;

  #bytes = 0;

  readonly #account: BufferAccount | undefined;

  constructor(maximumBytes: number, account?: BufferAccount) {
    this.#account = account;
    this.#maximumBytes = maximumBytes;
  }

  /** Bytes buffered now. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Reserves bytes; returns false, and reserves none, if they would exceed the limit. */
  tryReserve(bytes: number): boolean {
    if (this.#bytes + bytes > this.#maximumBytes) return false;
    if (this.#account && !this.#account.tryReserve(bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Releases reserved bytes. */
  release(bytes: number): void {
    this.#bytes -= bytes;
    this.#account?.release(bytes);
  }
}

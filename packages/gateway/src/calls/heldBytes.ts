/** Bytes that an instance holds of answers that are sent whole, bounded over all of them. */
export class HeldBytes {
  readonly #maximumBytes: number;

  #bytes = 0;

  constructor(maximumBytes: number) {
    this.#maximumBytes = maximumBytes;
  }

  /** Bytes held now. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Counts bytes as held; returns false, and counts none, where they go beyond the bound. */
  tryHold(bytes: number): boolean {
    if (this.#bytes + bytes > this.#maximumBytes) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Counts bytes as held no more. */
  release(bytes: number): void {
    this.#bytes -= bytes;
  }
}

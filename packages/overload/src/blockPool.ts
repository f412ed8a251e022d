const BLOCK_BYTES = 64 * 1_024;

/** Blocks that are kept for later use, 24 MB together. */
const MAXIMUM_FREE_BLOCKS = 384;

/**
 * Blocks of memory that are used again. The memory of other buffers is returned only by a complete
 * collection of garbage, which the runtime may delay until 64 MB are unused.
 */
export class BlockPool {
  readonly #free: Buffer[] = [];

  static readonly blockBytes = BLOCK_BYTES;

  take(): Buffer {
    return this.#free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  /** Takes a block back, which must not be used any more. */
  giveBack(block: Buffer): void {
    if (this.#free.length < MAXIMUM_FREE_BLOCKS) this.#free.push(block);
  }
}

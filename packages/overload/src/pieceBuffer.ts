import { BlockPool } from './blockPool';

/** Memory of a kept piece beside its payload: the objects of the runtime and their allocations. */
const PIECE_OVERHEAD_BYTES = 512;

const LEAST_BLOCK_BYTES = 1_024;

/**
 * Collects the pieces of a body. Pieces are copied into blocks, since each one takes several hundred
 * bytes beside its payload. A body that arrives in one piece is not copied.
 */
export class PieceBuffer {
  readonly #pool: BlockPool;

  /** The only piece so far. */
  #single: Buffer | undefined;

  readonly #blocks: Buffer[] = [];

  /** Bytes used of the last block. */
  #used = 0;

  #length = 0;

  #cost = 0;

  constructor(pool: BlockPool) {
    this.#pool = pool;
  }

  /** Bytes of the body so far. */
  get length(): number {
    return this.#length;
  }

  /** Memory that the body takes. */
  get cost(): number {
    return this.#cost;
  }

  /** Adds a piece; returns by how much the memory that the body takes has grown. */
  append(piece: Buffer): number {
    const before = this.#cost;
    if (this.#length === 0) {
      this.#single = piece;
      this.#cost = piece.length === 0 ? 0 : piece.length + PIECE_OVERHEAD_BYTES;
    } else {
      this.#copySingle();
      this.#copy(piece);
    }
    this.#length += piece.length;
    return this.#cost - before;
  }

  /** Returns the complete body; the pieces are no longer held by this object. */
  toBuffer(): Buffer {
    if (this.#single) return this.#single;
    const body = Buffer.concat(
      this.#blocks.map((block, index) =>
        index === this.#blocks.length - 1 ? block.subarray(0, this.#used) : block,
      ),
      this.#length,
    );
    this.release();
    return body;
  }

  /** Gives up the pieces. */
  release(): void {
    this.#blocks
      .filter(({ length }) => length === BlockPool.blockBytes)
      .forEach((block) => this.#pool.giveBack(block));
    this.#blocks.length = 0;
    this.#single = undefined;
  }

  #copySingle(): void {
    const single = this.#single;
    if (!single) return;
    this.#single = undefined;
    this.#cost = 0;
    this.#copy(single);
  }

  #copy(piece: Buffer): void {
    let rest = piece;
    while (rest.length > 0) {
      const block = this.#findBlock(rest.length);
      const copied = rest.copy(block, this.#used);
      this.#used += copied;
      rest = rest.subarray(copied);
    }
  }

  /** Opens a block that is as large as all before it, so that a small body takes little memory. */
  #findBlock(neededBytes: number): Buffer {
    const last = this.#blocks.at(-1);
    if (last && this.#used < last.length) return last;
    const wanted = Math.max(LEAST_BLOCK_BYTES, neededBytes, this.#length);
    const isPooled = wanted >= BlockPool.blockBytes;
    const block = isPooled ? this.#pool.take() : Buffer.allocUnsafeSlow(wanted);
    this.#blocks.push(block);
    this.#used = 0;
    this.#cost += block.length + PIECE_OVERHEAD_BYTES;
    return block;
  }
}

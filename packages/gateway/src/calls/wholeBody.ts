import type { HeldBytes } from './heldBytes';

/** Body of an answer that is sent when it is whole. */
export class WholeBody {
  readonly #held: HeldBytes;

  readonly #maximumBytes: number;

  readonly #chunks: Buffer[] = [];

  #bytes = 0;

  constructor(held: HeldBytes, maximumBytes: number) {
    this.#held = held;
    this.#maximumBytes = maximumBytes;
  }

  /** The parts of the body in their order. */
  get chunks(): readonly Buffer[] {
    return this.#chunks;
  }

  /** Takes a part; returns false where the body, or those of all answers together, grow too large. */
  take(chunk: Buffer): boolean {
    if (this.#bytes + chunk.length > this.#maximumBytes) return false;
    if (!this.#held.tryHold(chunk.length)) return false;
    this.#bytes += chunk.length;
    this.#chunks.push(chunk);
    return true;
  }

  /** Gives up what is held, once. */
  release(): void {
    this.#held.release(this.#bytes);
    this.#bytes = 0;
    this.#chunks.length = 0;
  }
}

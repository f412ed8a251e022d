import type { BufferLimiter } from './bufferLimiter';

/** Body of a response that is sent only when it is complete. */
export class BufferedBody {
  readonly #limiter: BufferLimiter;

  readonly #maximumBytes: number;

  readonly #chunks: Buffer[] = [];

  #bytes = 0;

  constructor(limiter: BufferLimiter, maximumBytes: number) {
    this.#limiter = limiter;
    this.#maximumBytes = maximumBytes;
  }

  /** Chunks of the body in order. */
  get chunks(): readonly Buffer[] {
    return this.#chunks;
  }

  /** Appends a chunk; returns false if this body, or all buffered ones together, are too large. */
  append(chunk: Buffer): boolean {
    if (this.#bytes + chunk.length > this.#maximumBytes) return false;
    if (!this.#limiter.tryReserve(chunk.length)) return false;
    this.#bytes += chunk.length;
    this.#chunks.push(chunk);
    return true;
  }

  /** Releases the buffered bytes; further calls have no effect. */
  release(): void {
    this.#limiter.release(this.#bytes);
    this.#bytes = 0;
    this.#chunks.length = 0;
  }
}

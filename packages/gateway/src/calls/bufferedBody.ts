import type { TargetBufferLimiter } from './targetBufferLimiter';

/** Memory that a chunk takes beside its payload. */
const CHUNK_OVERHEAD_BYTES = 256;

/** Body of a response that is sent only when it is complete. */
export class BufferedBody {
  readonly #limiter: TargetBufferLimiter;

  readonly #maximumBytes: number;

  readonly #chunks: Buffer[] = [];

  #bytes = 0;

  #isFinished = false;

  constructor(limiter: TargetBufferLimiter, maximumBytes: number) {
    this.#limiter = limiter;
    this.#maximumBytes = maximumBytes;
  }

  /** Chunks of the body in order. */
  get chunks(): readonly Buffer[] {
    return this.#chunks;
  }

  /** Appends a chunk; returns false if this body, or all buffered ones together, are too large. */
  append(chunk: Buffer): boolean {
    const bytes = chunk.length + CHUNK_OVERHEAD_BYTES;
    if (this.#bytes + bytes > this.#maximumBytes) return false;
    if (!this.#limiter.tryReserve(bytes)) return false;
    this.#bytes += bytes;
    this.#chunks.push(chunk);
    return true;
  }

  /** Records that the body is complete or given up; further calls have no effect. */
  finish(): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.#limiter.finish(this.#bytes);
  }

  /** Releases the buffered bytes; further calls have no effect. */
  release(): void {
    this.finish();
    this.#limiter.release(this.#bytes);
    this.#bytes = 0;
    this.#chunks.length = 0;
  }
}

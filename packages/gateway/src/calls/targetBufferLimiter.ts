import type { BufferLimiter } from './bufferLimiter';

/** Limit of a target that has recently exceeded its usual one. */
const RESTRICTED_BYTES = 1024 * 1024;

/** Time for which a target is restricted, so that the rest of its endless responses ends soon. */
const RESTRICTION_MILLISECONDS = 10_000;

/** Limits the bytes that are buffered of one target's responses, as part of those of all targets. */
export class TargetBufferLimiter {
  readonly #maximumBytes: number;

  readonly #total: BufferLimiter;

  #bytes = 0;

  #restrictedUntilMilliseconds = -Infinity;

  constructor(maximumBytes: number, total: BufferLimiter) {
    this.#maximumBytes = maximumBytes;
    this.#total = total;
  }

  /** Bytes buffered now. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Reserves bytes; returns false, and reserves none, if they would exceed a limit. A target that
   * exceeds its own limit is restricted for a while.
   */
  tryReserve(bytes: number): boolean {
    if (this.#bytes + bytes > this.#maximumBytes) {
      this.#restrictedUntilMilliseconds = performance.now() + RESTRICTION_MILLISECONDS;
    }
    const isRestricted = performance.now() < this.#restrictedUntilMilliseconds;
    if (isRestricted && this.#bytes + bytes > RESTRICTED_BYTES) return false;
    if (!this.#total.tryReserve(bytes)) return false;
    this.#bytes += bytes;
    return true;
  }

  /** Releases reserved bytes. */
  release(bytes: number): void {
    this.#bytes -= bytes;
    this.#total.release(bytes);
  }
}

import type { BufferLimiter } from './bufferLimiter';

/** Limit of a target that has recently exceeded its usual one. */
const RESTRICTED_BYTES = 4 * 1024 * 1024;

/** Time for which a target is restricted, so that the rest of its endless responses ends soon. */
const RESTRICTION_MILLISECONDS = 1_000;

/**
 * Limits the bytes that are buffered of one target's unfinished responses, as part of those of all
 * targets. A complete response that its caller reads slowly says nothing about the target.
 */
export class TargetBufferLimiter {
  readonly #maximumBytes: number;

  readonly #total: BufferLimiter;

  #unfinishedBytes = 0;

  #restrictedUntilMilliseconds = -Infinity;

  constructor(maximumBytes: number, total: BufferLimiter) {
    this.#maximumBytes = maximumBytes;
    this.#total = total;
  }

  /** Bytes of unfinished responses. */
  get unfinishedBytes(): number {
    return this.#unfinishedBytes;
  }

  /**
   * Reserves bytes; returns false, and reserves none, if they would exceed a limit. A target that
   * exceeds its own limit is restricted for a while.
   */
  tryReserve(bytes: number): boolean {
    const wanted = this.#unfinishedBytes + bytes;
    if (wanted > this.#maximumBytes) {
      this.#restrictedUntilMilliseconds = performance.now() + RESTRICTION_MILLISECONDS;
    }
    const isRestricted = performance.now() < this.#restrictedUntilMilliseconds;
    if (isRestricted && wanted > RESTRICTED_BYTES) return false;
    if (!this.#total.tryReserve(bytes)) return false;
    this.#unfinishedBytes = wanted;
    return true;
  }

  /** Records that a response with so many reserved bytes is complete; they stay reserved. */
  finish(bytes: number): void {
    this.#unfinishedBytes -= bytes;
  }

  /** Releases the reserved bytes of a complete response. */
  release(bytes: number): void {
    this.#total.release(bytes);
  }
}

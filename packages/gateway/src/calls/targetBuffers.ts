import type { BufferLimiter } from './bufferLimiter';
import { TargetBufferLimiter } from './targetBufferLimiter';

/** Limits the bytes that are buffered of each target's unfinished responses, and of all responses. */
export class TargetBuffers {
  readonly #maximumBytes: number;

  readonly #total: BufferLimiter;

  readonly #limiters = new Map<string, TargetBufferLimiter>();

  constructor(maximumBytes: number, total: BufferLimiter) {
    this.#maximumBytes = maximumBytes;
    this.#total = total;
  }

  /** Returns the limiter of a target. */
  limiterOf(targetId: string): TargetBufferLimiter {
    const existing = this.#limiters.get(targetId);
    const limiter = existing ?? new TargetBufferLimiter(this.#maximumBytes, this.#total);
    this.#limiters.set(targetId, limiter);
    return limiter;
  }

  /** Forgets unregistered targets without unfinished responses. */
  retain(isRegistered: (targetId: string) => boolean): void {
    this.#limiters.forEach((limiter, id) => {
      if (limiter.unfinishedBytes === 0 && !isRegistered(id)) this.#limiters.delete(id);
    });
  }
}

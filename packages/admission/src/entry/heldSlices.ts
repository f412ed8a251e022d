import { isPast } from './instant';
import type { Instant } from './instant';

interface HeldSlice {
  readonly expires: Instant;
  tokens: number;
}

/** Unexpired slices of one organisation's rate that an entry may still use. */
export class HeldSlices {
  readonly #slices: HeldSlice[] = [];

  #used = 0;

  /** Adds a slice. Slices must be added in the order in which they expire. */
  add(tokens: number, expires: Instant): void {
    if (tokens > 0) this.#slices.push({ tokens, expires });
  }

  /** Uses one token of the slice that expires first; returns false if no token is left. */
  tryAcquire(): boolean {
    this.#removeExpired();
    const [first] = this.#slices;
    if (!first) return false;
    first.tokens -= 1;
    this.#used += 1;
    return true;
  }

  /** Whether tokens were used that have not been reported to the owner. */
  hasUnreportedUse(): boolean {
    return this.#used > 0;
  }

  /** Marks all token use so far as reported to the owner. */
  markReported(): void {
    this.#used = 0;
  }

  /** Returns the number of tokens that may still be used. */
  count(): number {
    this.#removeExpired();
    return this.#slices.reduce((sum, slice) => sum + slice.tokens, 0);
  }

  #removeExpired(): void {
    while (this.#slices[0] && (this.#slices[0].tokens < 1 || isPast(this.#slices[0].expires))) {
      this.#slices.shift();
    }
  }
}

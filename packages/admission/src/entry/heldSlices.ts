import { isPast } from './instant';
import type { Instant } from './instant';

interface HeldSlice {
  readonly expires: Instant;
  tokens: number;
}

/** Slices of one organisation's rate that an entry may still use. */
export class HeldSlices {
  readonly #slices: HeldSlice[] = [];

  #used = 0;

  /** Adds a slice; slices must come in the order of their ends. */
  add(tokens: number, expires: Instant): void {
    if (tokens > 0) this.#slices.push({ tokens, expires });
  }

  /** Uses one token of the slice that ends first; false where none is left. */
  take(): boolean {
    this.#dropEnded();
    const [first] = this.#slices;
    if (!first) return false;
    first.tokens -= 1;
    this.#used += 1;
    return true;
  }

  /** Whether tokens were used that the owner did not hear of. */
  hasUnreportedUse(): boolean {
    return this.#used > 0;
  }

  /** Notes that the owner is told of what was used. */
  noteReport(): void {
    this.#used = 0;
  }

  /** Tokens that may still be used. */
  count(): number {
    this.#dropEnded();
    return this.#slices.reduce((sum, slice) => sum + slice.tokens, 0);
  }

  #dropEnded(): void {
    while (this.#slices[0] && (this.#slices[0].tokens < 1 || isPast(this.#slices[0].expires))) {
      this.#slices.shift();
    }
  }
}

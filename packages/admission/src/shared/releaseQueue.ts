interface Release {
  readonly atMilliseconds: number;
  count: number;
}

/** Releases are rounded up to this resolution and merged, so that the queue stays short. */
const RESOLUTION_MILLISECONDS = 25;

/** Number of occupied items, which become free again at given times, in order. */
export class ReleaseQueue {
  readonly #releases: Release[] = [];

  #size = 0;

  /** Number of items that are not free yet. */
  get size(): number {
    return this.#size;
  }

  /**
   * Adds items that become free at the given time, but not before items that were added earlier.
   */
  add(count: number, atMilliseconds: number): void {
    if (count <= 0) return;
    this.#size += count;
    const last = this.#releases.at(-1);
    if (last && atMilliseconds <= last.atMilliseconds) {
      last.count += count;
      return;
    }
    const rounded = Math.ceil(atMilliseconds / RESOLUTION_MILLISECONDS) * RESOLUTION_MILLISECONDS;
    this.#releases.push({ atMilliseconds: rounded, count });
  }

  /** Frees the items whose release time has passed. */
  release(nowMilliseconds: number): void {
    const firstPending = this.#releases.findIndex(
      ({ atMilliseconds }) => atMilliseconds > nowMilliseconds,
    );
    const released = this.#releases.splice(
      0,
      firstPending === -1 ? this.#releases.length : firstPending,
    );
    this.#size -= released.reduce((sum, { count }) => sum + count, 0);
    // Fractional counts leave rounding errors.
    if (this.#releases.length === 0) this.#size = 0;
  }

  /** Frees items early, the most recently added first. */
  cancel(count: number): void {
    let remaining = Math.min(count, this.#size);
    this.#size -= remaining;
    while (remaining > 0) {
      const newest = this.#releases.at(-1);
      if (!newest) return;
      const cancelled = Math.min(remaining, newest.count);
      newest.count -= cancelled;
      remaining -= cancelled;
      if (newest.count <= 0) this.#releases.pop();
    }
  }

  /** Returns when the given number of items will be free; undefined if the queue has fewer. */
  getReleaseTime(count: number): number | undefined {
    let released = 0;
    return this.#releases.find((release) => {
      released += release.count;
      return released >= count;
    })?.atMilliseconds;
  }
}

interface Release {
  readonly atMilliseconds: number;
  count: number;
}

/** Releases closer together than this share one entry, so that the queue stays short. */
const RESOLUTION_MILLISECONDS = 25;

/** Counted items that become free again at set times, in order. */
export class ReleaseQueue {
  readonly #releases: Release[] = [];

  #size = 0;

  /** Items that are not free yet. */
  get size(): number {
    return this.#size;
  }

  /** Adds items that become free at a time, not before any that was added earlier. */
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

  /** Frees the items whose time has come. */
  release(nowMilliseconds: number): void {
    const due = this.#releases.findIndex(({ atMilliseconds }) => atMilliseconds > nowMilliseconds);
    const released = this.#releases.splice(0, due === -1 ? this.#releases.length : due);
    this.#size -= released.reduce((sum, { count }) => sum + count, 0);
    // Fractions of tokens leave rounding errors behind.
    if (this.#releases.length === 0) this.#size = 0;
  }

  /** Frees items ahead of time, the newest first. */
  cancel(count: number): void {
    let left = Math.min(count, this.#size);
    this.#size -= left;
    while (left > 0) {
      const newest = this.#releases.at(-1);
      if (!newest) return;
      const cancelled = Math.min(left, newest.count);
      newest.count -= cancelled;
      left -= cancelled;
      if (newest.count <= 0) this.#releases.pop();
    }
  }

  /** When this many items will have become free; undefined where the queue holds fewer. */
  timeOfRelease(count: number): number | undefined {
    let released = 0;
    return this.#releases.find((release) => {
      released += release.count;
      return released >= count;
    })?.atMilliseconds;
  }
}

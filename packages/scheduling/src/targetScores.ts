const FIRST_CAPACITY = 64;

/** Figures of all targets in arrays by position, since a decision scans over many targets. */
export class TargetScores {
  /** Calls that this instance may send now. */
  openSlots = new Int32Array(FIRST_CAPACITY);

  /** Expected delay by the work that is there and by the zone, in milliseconds. */
  delayMilliseconds = new Float64Array(FIRST_CAPACITY);

  /** Cost of one prompt token that is not cached, in milliseconds. */
  prefillMillisecondsPerToken = new Float64Array(FIRST_CAPACITY);

  readonly #freePositions: number[] = [];

  #size = 0;

  /** Returns a position for a target. */
  allocate(): number {
    const free = this.#freePositions.pop();
    if (free !== undefined) return free;
    if (this.#size === this.openSlots.length) this.#grow();
    this.#size += 1;
    return this.#size - 1;
  }

  /** Gives back the position of a target that is gone. */
  free(position: number): void {
    this.openSlots[position] = 0;
    this.#freePositions.push(position);
  }

  #grow(): void {
    const capacity = 2 * this.openSlots.length;
    const { openSlots, delayMilliseconds, prefillMillisecondsPerToken } = this;
    this.openSlots = new Int32Array(capacity);
    this.openSlots.set(openSlots);
    this.delayMilliseconds = new Float64Array(capacity);
    this.delayMilliseconds.set(delayMilliseconds);
    this.prefillMillisecondsPerToken = new Float64Array(capacity);
    this.prefillMillisecondsPerToken.set(prefillMillisecondsPerToken);
  }
}

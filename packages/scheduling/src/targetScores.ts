const INITIAL_CAPACITY = 64;

/** Scores of all targets in arrays by position, because each placement scans many targets. */
export class TargetScores {
  /** Calls that this instance may send now. */
  openSlots = new Int32Array(INITIAL_CAPACITY);

  /** Expected delay due to the target's load and its availability zone, in milliseconds. */
  delayMilliseconds = new Float64Array(INITIAL_CAPACITY);

  /** Cost of an uncached prompt token, in milliseconds. */
  prefillMillisecondsPerToken = new Float64Array(INITIAL_CAPACITY);

  readonly #freePositions: number[] = [];

  #size = 0;

  /** Allocates a position for a target. */
  allocate(): number {
    const free = this.#freePositions.pop();
    if (free !== undefined) return free;
    if (this.#size === this.openSlots.length) this.#grow();
    this.#size += 1;
    return this.#size - 1;
  }

  /** Frees the position of a removed target. */
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

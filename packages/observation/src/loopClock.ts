const TICK_MILLISECONDS = 50;

/**
 * Tells from when a message that is handled now may be at the earliest. A process that was frozen
 * handles messages that arrived long ago; a tick counts only once the messages that had arrived by
 * then were handled, and the one before it is used, as a response takes more than one turn of the
 * event loop.
 */
export class LoopClock {
  #timer: NodeJS.Timeout | undefined;

  #previousMilliseconds = 0;

  #latestMilliseconds = 0;

  /** Earliest arrival of what is handled now; the present if the clock doesn't run. */
  get earliestArrivalMilliseconds(): number {
    return this.#timer ? this.#previousMilliseconds : performance.now();
  }

  start(): void {
    if (this.#timer) return;
    this.#previousMilliseconds = performance.now();
    this.#latestMilliseconds = this.#previousMilliseconds;
    this.#timer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  #tick(): void {
    const now = performance.now();
    setImmediate(() => {
      this.#previousMilliseconds = this.#latestMilliseconds;
      this.#latestMilliseconds = now;
    });
  }
}

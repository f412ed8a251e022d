const TICK_MILLISECONDS = 20;

/** Shorter lags are within the tolerance of every check. */
const MINIMUM_LAG_MILLISECONDS = 60;

/** Records event loop lag of this process, so that its delays aren't attributed to an instance. */
export class EventLoopLag {
  readonly #lags: { readonly from: number; readonly to: number }[] = [];

  readonly #timer: NodeJS.Timeout;

  #tickedAt = performance.now();

  constructor() {
    this.#timer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
  }

  /** Returns the total lag that overlaps a span, in milliseconds. */
  sumWithin(from: number, to: number): number {
    return this.#lags
      .filter((lag) => lag.from <= to && lag.to >= from)
      .reduce((sum, lag) => sum + lag.to - lag.from, 0);
  }

  /** The longest lag so far, in milliseconds. */
  get longest(): number {
    return Math.max(0, ...this.#lags.map(({ from, to }) => to - from));
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #tick(): void {
    const from = this.#tickedAt;
    const to = performance.now();
    this.#tickedAt = to;
    if (to - from > MINIMUM_LAG_MILLISECONDS) this.#lags.push({ from, to });
  }
}

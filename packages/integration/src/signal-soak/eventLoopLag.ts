const TICK_MILLISECONDS = 20;

/** Shorter lags lie within the slack of every check. */
const NOTED_MILLISECONDS = 60;

/** Times at which this process was late itself, so that no caller's wait is blamed on an instance. */
export class EventLoopLag {
  readonly #lags: { readonly from: number; readonly to: number }[] = [];

  readonly #timer: NodeJS.Timeout;

  #tickedAt = performance.now();

  constructor() {
    this.#timer = setInterval(() => this.#tick(), TICK_MILLISECONDS);
  }

  /** Returns how late this process was in a span, in milliseconds. */
  within(from: number, to: number): number {
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
    if (to - from > NOTED_MILLISECONDS) this.#lags.push({ from, to });
  }
}

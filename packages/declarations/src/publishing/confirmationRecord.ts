import type { Logger, Metrics } from '@limpetnotch/observability';

/** Records when the store last confirmed the configuration in force, and logs why it does not. */
export class ConfirmationRecord {
  readonly #logger: Logger;

  readonly #metrics: Metrics;

  #confirmedAt: number | undefined;

  #failure: string | undefined;

  constructor(logger: Logger, metrics: Metrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /**
   * Returns the time of the last confirmation, by `performance.now()`; undefined before the first.
   */
  lastConfirmedMilliseconds(): number | undefined {
    return this.#confirmedAt;
  }

  /** Records a confirmation that was requested, or sent, at a time of `performance.now()`. */
  recordConfirmation(milliseconds: number): void {
    this.#confirmedAt = Math.max(milliseconds, this.#confirmedAt ?? milliseconds);
    if (this.#failure === undefined) return;
    this.#failure = undefined;
    this.#logger.info('configuration.confirmed');
  }

  /** Counts a failure, and logs it if the reason differs from the last one. */
  recordFailure(reason: string): void {
    this.#metrics.increment('configuration.read-failures');
    if (this.#failure === reason) return;
    this.#failure = reason;
    this.#logger.warn('configuration.unconfirmed', { reason });
  }
}

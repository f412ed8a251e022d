import type { Logger, Metrics } from '@limpetnotch/observability';

/** Remembers when the store last confirmed the set in force, and reports why it does not. */
export class ConfirmationRecord {
  readonly #logger: Logger;

  readonly #metrics: Metrics;

  #confirmedAt: number | undefined;

  #failure: string | undefined;

  constructor(logger: Logger, metrics: Metrics) {
    this.#logger = logger;
    this.#metrics = metrics;
  }

  /** Returns the time of the last confirmation, by `performance.now()`; undefined before the first. */
  at(): number | undefined {
    return this.#confirmedAt;
  }

  /** Notes a confirmation that was asked for, or sent, at a time. */
  confirm(milliseconds: number): void {
    this.#confirmedAt = Math.max(milliseconds, this.#confirmedAt ?? milliseconds);
    if (this.#failure === undefined) return;
    this.#failure = undefined;
    this.#logger.info('configuration.confirmed');
  }

  /** Counts a failure, and logs it where the reason is a new one. */
  fail(reason: string): void {
    this.#metrics.increment('configuration.read-failures');
    if (this.#failure === reason) return;
    this.#failure = reason;
    this.#logger.warn('configuration.unconfirmed', { reason });
  }
}

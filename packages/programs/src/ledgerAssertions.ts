import type { Logger, LogFields, Metrics } from '@limpetnotch/observability';

/** Options of {@link LedgerAssertions}. */
export interface LedgerAssertionsOptions {
  readonly partition: number;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Checks invariants at run time; the first failure stops the partition. */
export class LedgerAssertions {
  readonly #options: LedgerAssertionsOptions;

  #hasFailed = false;

  constructor(options: LedgerAssertionsOptions) {
    this.#options = options;
  }

  /** Whether an invariant failed, so that the partition must not continue. */
  get hasFailed(): boolean {
    return this.#hasFailed;
  }

  /** Counts and logs an invariant that does not hold, and stops the partition. */
  check(holds: boolean, invariant: string, fields: LogFields = {}): void {
    if (holds) return;
    this.#hasFailed = true;
    this.report(invariant, fields);
  }

  /** Counts and logs a fault outside the ledger, which does not stop the partition. */
  report(invariant: string, fields: LogFields = {}): void {
    const { logger, metrics, partition } = this.#options;
    metrics.increment('program.assertion-failures', 1, { invariant });
    logger.error('program.assertion-failed', { partition, invariant, ...fields });
  }
}

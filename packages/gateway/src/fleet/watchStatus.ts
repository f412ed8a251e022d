import type { Logger } from '@limpetnotch/observability';

/** Tracks whether a store watch is connected, and logs each loss and recovery once. */
export class WatchStatus {
  readonly #logger: Logger;

  readonly #prefix: string;

  #lostAtMilliseconds: number | undefined;

  constructor(logger: Logger, prefix: string) {
    this.#logger = logger;
    this.#prefix = prefix;
  }

  /** Records a loss, which may have begun some time ago. */
  recordLoss(detail: string, lostMilliseconds = 0): void {
    const lostAtMilliseconds = performance.now() - lostMilliseconds;
    if (this.#lostAtMilliseconds !== undefined) {
      this.#lostAtMilliseconds = Math.min(this.#lostAtMilliseconds, lostAtMilliseconds);
      return;
    }
    this.#lostAtMilliseconds = lostAtMilliseconds;
    this.#logger.warn('store.watch-lost', { prefix: this.#prefix, detail });
  }

  /** Returns how long the watch was lost, in milliseconds; 0 if it was not lost. */
  recordRecovery(): number {
    if (this.#lostAtMilliseconds === undefined) return 0;
    const lostMilliseconds = performance.now() - this.#lostAtMilliseconds;
    this.#lostAtMilliseconds = undefined;
    this.#logger.info('store.watch-regained', {
      prefix: this.#prefix,
      lostMilliseconds: Math.round(lostMilliseconds),
    });
    return lostMilliseconds;
  }
}

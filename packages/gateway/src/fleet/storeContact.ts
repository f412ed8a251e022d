import type { Logger } from '@limpetnotch/observability';

/** Logs when a dependency is lost or regained, once for each change. */
export class StoreContact {
  readonly #logger: Logger;

  readonly #prefix: string;

  #lostAtMilliseconds: number | undefined;

  constructor(logger: Logger, prefix: string) {
    this.#logger = logger;
    this.#prefix = prefix;
  }

  lost(detail: string): void {
    if (this.#lostAtMilliseconds !== undefined) return;
    this.#lostAtMilliseconds = performance.now();
    this.#logger.warn('store.watch-lost', { prefix: this.#prefix, detail });
  }

  /** Returns how long the contact was lost, in milliseconds; 0 where it was not. */
  regained(): number {
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

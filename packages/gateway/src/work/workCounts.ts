import type { Metrics } from '@limpetnotch/observability';

/** Where a call of this instance goes. */
export type CallDestination = 'peer' | 'store';

/** Counts the calls of this instance to its peers and to the store, by kind. */
export class WorkCounts {
  readonly #metrics: Metrics;

  #counts = new Map<string, number>();

  constructor(metrics: Metrics) {
    this.#metrics = metrics;
  }

  /** Counts one call. */
  record(destination: CallDestination, call: string): void {
    const name = `${destination}.${call}`;
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + 1);
    this.#metrics.increment(`${destination}.calls`, 1, { call });
  }

  /** Returns the numbers of calls since the last time, by destination and kind. */
  takeCounts(): Readonly<Record<string, number>> {
    const counts = Object.fromEntries(this.#counts);
    this.#counts = new Map();
    return counts;
  }
}

import type { MetricName, Metrics, MetricTags } from './metrics';

/** Keeps counters and gauges in memory, for tests and for the status page. */
export class MemoryMetrics implements Metrics {
  readonly #counters = new Map<string, number>();

  readonly #gauges = new Map<string, number>();

  increment(name: MetricName, amount = 1, tags: MetricTags = {}): void {
    const key = MemoryMetrics.#toKey(name, tags);
    this.#counters.set(key, (this.#counters.get(key) ?? 0) + amount);
  }

  gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    this.#gauges.set(MemoryMetrics.#toKey(name, tags), value);
  }

  distribution(name: MetricName, _value: number, tags: MetricTags = {}): void {
    this.increment(name, 1, tags);
  }

  /** Returns a counter's sum for one set of tags; 0 if it was never incremented. */
  counter(name: MetricName, tags: MetricTags = {}): number {
    return this.#counters.get(MemoryMetrics.#toKey(name, tags)) ?? 0;
  }

  /** Returns a gauge's last value, or `undefined` if it was never set. */
  gaugeValue(name: MetricName, tags: MetricTags = {}): number | undefined {
    return this.#gauges.get(MemoryMetrics.#toKey(name, tags));
  }

  /** Returns all counters, keyed by name and tags. */
  counters(): ReadonlyMap<string, number> {
    return this.#counters;
  }

  static #toKey(name: MetricName, tags: MetricTags): string {
    const pairs = Object.entries(tags).map(([tag, value]) => `${tag}:${value}`);
    return [name, ...pairs.sort()].join(',');
  }
}

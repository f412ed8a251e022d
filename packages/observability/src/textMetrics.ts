import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { MetricName, Metrics, MetricTags } from './metrics';

const PREFIX = 'limpetnotch_';

/** Upper bounds of the buckets in milliseconds, from a call to a peer to a whole program. */
const BUCKETS_MILLISECONDS = [
  1, 2, 5, 10, 20, 50, 100, 200, 400, 700, 1_000, 2_000, 4_000, 8_000, 16_000,
];

const nameOf = (name: MetricName): string => `${PREFIX}${name.replaceAll(/[^a-zA-Z0-9]/g, '_')}`;

/** Keeps counters, gauges and histograms, and writes them as text for a scraper. */
export class TextMetrics implements Metrics {
  readonly #registry = new Registry();

  readonly #counters = new Map<MetricName, Counter>();

  readonly #gauges = new Map<MetricName, Gauge>();

  readonly #histograms = new Map<MetricName, Histogram>();

  increment(name: MetricName, amount = 1, tags: MetricTags = {}): void {
    const known = this.#counters.get(name);
    const counter = known ?? new Counter(this.#optionsOf(`${nameOf(name)}_total`, name, tags));
    if (!known) this.#counters.set(name, counter);
    counter.inc({ ...tags }, amount);
  }

  gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    const known = this.#gauges.get(name);
    const gauge = known ?? new Gauge(this.#optionsOf(nameOf(name), name, tags));
    if (!known) this.#gauges.set(name, gauge);
    gauge.set({ ...tags }, value);
  }

  distribution(name: MetricName, value: number, tags: MetricTags = {}): void {
    const known = this.#histograms.get(name);
    const histogram =
      known ??
      new Histogram({
        ...this.#optionsOf(nameOf(name), name, tags),
        buckets: BUCKETS_MILLISECONDS,
      });
    if (!known) this.#histograms.set(name, histogram);
    histogram.observe({ ...tags }, value);
  }

  /** All metrics in the text format for scrapers. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Media type of the text. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  #optionsOf(
    name: string,
    help: string,
    tags: MetricTags,
  ): { name: string; help: string; labelNames: string[]; registers: Registry[] } {
    return { name, help, labelNames: Object.keys(tags), registers: [this.#registry] };
  }
}

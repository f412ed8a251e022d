import { Counter, Gauge, Histogram, Registry } from 'prom-client';
import type { MetricName, Metrics, MetricTags } from './metrics';

const PREFIX = 'limpetnotch_';

/** Upper bounds of the histogram buckets, from the duration of a peer call to that of a program. */
const BUCKETS_MILLISECONDS = [
  1, 2, 5, 10, 20, 50, 100, 200, 400, 700, 1_000, 2_000, 4_000, 8_000, 16_000,
];

const toPrometheusName = (name: MetricName): string =>
  `${PREFIX}${name.replaceAll(/[^a-zA-Z0-9]/g, '_')}`;

/** Collects counters, gauges and histograms, and renders them in the Prometheus text format. */
export class TextMetrics implements Metrics {
  readonly #registry = new Registry();

  readonly #counters = new Map<MetricName, Counter>();

  readonly #gauges = new Map<MetricName, Gauge>();

  readonly #histograms = new Map<MetricName, Histogram>();

  increment(name: MetricName, amount = 1, tags: MetricTags = {}): void {
    const existing = this.#counters.get(name);
    const counter =
      existing ?? new Counter(this.#createOptions(`${toPrometheusName(name)}_total`, name, tags));
    if (!existing) this.#counters.set(name, counter);
    counter.inc({ ...tags }, amount);
  }

  gauge(name: MetricName, value: number, tags: MetricTags = {}): void {
    const existing = this.#gauges.get(name);
    const gauge = existing ?? new Gauge(this.#createOptions(toPrometheusName(name), name, tags));
    if (!existing) this.#gauges.set(name, gauge);
    gauge.set({ ...tags }, value);
  }

  distribution(name: MetricName, value: number, tags: MetricTags = {}): void {
    const existing = this.#histograms.get(name);
    const histogram =
      existing ??
      new Histogram({
        ...this.#createOptions(toPrometheusName(name), name, tags),
        buckets: BUCKETS_MILLISECONDS,
      });
    if (!existing) this.#histograms.set(name, histogram);
    histogram.observe({ ...tags }, value);
  }

  /** Returns all metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  /** Media type of the text. */
  get contentType(): string {
    return this.#registry.contentType;
  }

  #createOptions(
    name: string,
    help: string,
    tags: MetricTags,
  ): { name: string; help: string; labelNames: string[]; registers: Registry[] } {
    return { name, help, labelNames: Object.keys(tags), registers: [this.#registry] };
  }
}

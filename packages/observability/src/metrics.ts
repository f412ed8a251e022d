/** Name of a counter, gauge or distribution: the area and the quantity, such as `journal.commits`. */
export type MetricName = `${string}.${string}`;

/** Dimensions of a metric; each has few values and is never a request identifier. */
export type MetricTags = Readonly<Record<string, string>>;

/** Sink of counters, gauges and distributions. */
export interface Metrics {
  /** Adds to a counter; `amount` defaults to 1. */
  increment(name: MetricName, amount?: number, tags?: MetricTags): void;
  gauge(name: MetricName, value: number, tags?: MetricTags): void;
  /** Records one sample of a distribution; durations are in milliseconds. */
  distribution(name: MetricName, value: number, tags?: MetricTags): void;
}

import { StatsD } from 'hot-shots';
import type { Metrics, MetricTags } from './metrics';

/** Options of {@link createStatsdMetrics}. */
export interface StatsdOptions {
  /** Host of the StatsD collector. */
  readonly host: string;
  /** UDP port of the StatsD collector. */
  readonly port: number;
  /** Name of the instance, sent as a tag. */
  readonly instance: string;
}

/** Metrics that keep a socket and a timer open until they are closed. */
export interface StatsdMetrics extends Metrics {
  close(): Promise<void>;
}

const BUFFER_BYTES = 1_400;

/** Creates metrics that hot-shots sends to a StatsD collector. */
export const createStatsdMetrics = ({ host, port, instance }: StatsdOptions): StatsdMetrics => {
  const client = new StatsD({
    host,
    port,
    prefix: 'limpetnotch.',
    globalTags: { instance },
    maxBufferSize: BUFFER_BYTES,
    // Errors are ignored, since metrics must never fail a request; a lost datagram only loses samples.
    errorHandler: () => undefined,
  });
  const toClientTags = (tags: MetricTags = {}): Record<string, string> => ({ ...tags });
  return {
    increment: (name, amount = 1, tags = {}) => client.increment(name, amount, toClientTags(tags)),
    gauge: (name, value, tags = {}) => client.gauge(name, value, toClientTags(tags)),
    distribution: (name, value, tags = {}) => client.distribution(name, value, toClientTags(tags)),
    close: () =>
      new Promise((resolve) => {
        client.close(() => resolve());
      }),
  };
};

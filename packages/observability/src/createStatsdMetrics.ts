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

/** Metrics that hold a socket and a timer until they are closed. */
export interface StatsdMetrics extends Metrics {
  close(): Promise<void>;
}

const BUFFER_BYTES = 1_400;

/** Creates metrics that are sent to a StatsD collector by hot-shots. */
export const createStatsdMetrics = ({ host, port, instance }: StatsdOptions): StatsdMetrics => {
  const client = new StatsD({
    host,
    port,
    prefix: 'limpetnotch.',
    globalTags: { instance },
    maxBufferSize: BUFFER_BYTES,
    // A lost datagram only loses a sample: metrics never fail a request.
    errorHandler: () => undefined,
  });
  const tagged = (tags: MetricTags = {}): Record<string, string> => ({ ...tags });
  return {
    increment: (name, amount = 1, tags = {}) => client.increment(name, amount, tagged(tags)),
    gauge: (name, value, tags = {}) => client.gauge(name, value, tagged(tags)),
    distribution: (name, value, tags = {}) => client.distribution(name, value, tagged(tags)),
    close: () =>
      new Promise((resolve) => {
        client.close(() => resolve());
      }),
  };
};

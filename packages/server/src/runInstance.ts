import {
  createLogger,
  createStatsdMetrics,
  MemoryMetrics,
  startTracing,
} from '@limpetnotch/observability';
import type { Metrics } from '@limpetnotch/observability';
import { createEtcdStore } from '@limpetnotch/store';
import type { ProcessSignals } from '@limpetnotch/supervision';
import { Instance } from './instance/instance';
import type { Settings } from './settings';

const EXIT_FAILURE = 1;

interface ClosableMetrics {
  readonly metrics: Metrics;
  close(): Promise<void>;
}

const createMetrics = ({ statsd, instance }: Settings): ClosableMetrics => {
  if (statsd === undefined) return { metrics: new MemoryMetrics(), close: async () => undefined };
  const [host = '', port = ''] = statsd.split(':');
  const metrics = createStatsdMetrics({ host, port: Number(port), instance });
  return { metrics, close: async () => metrics.close() };
};

/** Runs one instance until it receives a stop signal; resolves to the exit code of the process. */
export const runInstance = async (settings: Settings, signals: ProcessSignals): Promise<number> => {
  const logger = createLogger({ instance: settings.instance, level: settings.logLevel });
  const { metrics, close } = createMetrics(settings);
  signals.report.writeTo({ logger, metrics });
  const tracing = startTracing({ collectorUrl: settings.traces });
  const store = createEtcdStore({ endpoints: settings.store, metrics });
  try {
    const instance = new Instance({ settings, store, logger, metrics, tracing });
    await instance.start(signals.stopping);
    signals.markServing();
    await instance.run(signals.stopping);
    return 0;
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    logger.error('instance.failed', { reason });
    return EXIT_FAILURE;
  } finally {
    signals.markEnded();
    await Promise.allSettled([store.close(), tracing.stop(), close()]);
  }
};

import type { Metrics } from '@limpetnotch/observability';
import { EtcdStore } from './etcdStore';
import { GatewayClient } from './gateway/gatewayClient';
import type { KeyValueStore } from './keyValueStore';
import type { StoreObserver } from './storeObserver';

const DEFAULT_REQUEST_TIMEOUT_MILLISECONDS = 1_000;
const DEFAULT_WATCH_SILENCE_MILLISECONDS = 5_000;

/** Options of {@link createEtcdStore}. */
export interface EtcdStoreOptions {
  /** Base addresses of the store, such as `http://10.0.0.5:2379`; used one at a time, in rotation. */
  readonly endpoints: readonly string[];
  /** Timeout of a complete call; 1 second by default. */
  readonly requestTimeoutMilliseconds?: number;
  /**
   * Time without a line after which a watch throws; 5 seconds by default. It must exceed the
   * store's progress interval.
   */
  readonly watchSilenceMilliseconds?: number;
  /** Sink of `store.calls`, `store.errors` and `store.milliseconds`; none by default. */
  readonly metrics?: Metrics;
  /** Receives the start and the end of each call, for tracing; none by default. */
  readonly observer?: StoreObserver;
}

const createObserver = ({ metrics, observer }: EtcdStoreOptions): StoreObserver => ({
  callStarted: (kind) => {
    const startedAt = performance.now();
    const reportOutcome = observer?.callStarted(kind);
    metrics?.increment('store.calls', 1, { kind });
    return (outcome) => {
      reportOutcome?.(outcome);
      if (outcome !== 'answered') metrics?.increment('store.errors', 1, { kind, error: outcome });
      if (kind === 'watch') return;
      metrics?.distribution('store.milliseconds', performance.now() - startedAt, { kind });
    };
  },
});

/** Creates a store client that speaks the etcd v3 JSON gateway protocol over HTTP. */
export const createEtcdStore = (options: EtcdStoreOptions): KeyValueStore => {
  if (options.endpoints.length === 0) throw new RangeError('endpoints: at least one is needed');
  const observer = createObserver(options);
  const client = new GatewayClient({
    endpoints: options.endpoints.map((endpoint) => endpoint.replace(/\/+$/, '')),
    requestTimeoutMilliseconds:
      options.requestTimeoutMilliseconds ?? DEFAULT_REQUEST_TIMEOUT_MILLISECONDS,
    observer,
  });
  return new EtcdStore({
    client,
    observer,
    watchSilenceMilliseconds:
      options.watchSilenceMilliseconds ?? DEFAULT_WATCH_SILENCE_MILLISECONDS,
  });
};

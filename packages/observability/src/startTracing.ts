import type { Tracer } from '@opentelemetry/api';
import { context } from '@opentelemetry/api';
import { AsyncLocalStorageContextManager } from '@opentelemetry/context-async-hooks';
import { OTLPTraceExporter } from '@opentelemetry/exporter-trace-otlp-http';
import type { SpanExporter } from '@opentelemetry/sdk-trace-base';
import { BatchSpanProcessor } from '@opentelemetry/sdk-trace-base';
import { NodeTracerProvider } from '@opentelemetry/sdk-trace-node';

/** Options of {@link startTracing}. */
export interface TracingOptions {
  /** Address of the OTLP collector, such as `http://127.0.0.1:4318/v1/traces`; none by default. */
  readonly collectorUrl?: string | undefined;
  /** Exporter that replaces OTLP, for tests. */
  readonly exporter?: SpanExporter;
}

/** A tracer and the means to flush it. */
export interface Tracing {
  readonly tracer: Tracer;
  stop(): Promise<void>;
}

/** Starts tracing; without a collector or exporter, spans are created and dropped. */
export const startTracing = ({ collectorUrl, exporter }: TracingOptions): Tracing => {
  // Propagates the active span through asynchronous calls. A second call keeps the first manager.
  context.setGlobalContextManager(new AsyncLocalStorageContextManager().enable());
  const spanExporter =
    exporter ?? (collectorUrl ? new OTLPTraceExporter({ url: collectorUrl }) : undefined);
  const provider = new NodeTracerProvider({
    spanProcessors: spanExporter ? [new BatchSpanProcessor(spanExporter)] : [],
  });
  return {
    tracer: provider.getTracer('limpetnotch'),
    stop: () => provider.shutdown(),
  };
};

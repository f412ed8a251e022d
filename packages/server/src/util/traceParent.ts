import type { Context } from '@opentelemetry/api';
import { context, defaultTextMapGetter, defaultTextMapSetter } from '@opentelemetry/api';
import { W3CTraceContextPropagator } from '@opentelemetry/core';

const propagator = new W3CTraceContextPropagator();

/** Returns the active span as a W3C `traceparent`; empty if there is none. */
export const getActiveTraceParent = (): string => {
  const carrier: { traceparent?: string } = {};
  propagator.inject(context.active(), carrier, defaultTextMapSetter);
  return carrier.traceparent ?? '';
};

/** Returns the active context with the span of a `traceparent` as the parent. */
export const extractContext = (traceParent: string): Context =>
  propagator.extract(context.active(), { traceparent: traceParent }, defaultTextMapGetter);

import type { Attributes, Span, Tracer } from '@opentelemetry/api';
import { SpanStatusCode } from '@opentelemetry/api';

/** Runs a step within a new span, which is a child of the active one. */
export const withSpan = async <Value>(
  tracer: Tracer,
  name: string,
  step: (span: Span) => Promise<Value>,
  attributes: Attributes = {},
): Promise<Value> =>
  tracer.startActiveSpan(name, { attributes }, async (span) => {
    try {
      return await step(span);
    } catch (error) {
      span.setStatus({ code: SpanStatusCode.ERROR });
      throw error;
    } finally {
      span.end();
    }
  });

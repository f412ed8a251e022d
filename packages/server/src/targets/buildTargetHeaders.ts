import type { Header } from '@limpetnotch/peer-protocol';

/** Caller headers that are forwarded to a target; all others are dropped. */
const FORWARDED_HEADERS = new Set(['accept', 'accept-language', 'content-type']);

/** Prefix of custom caller headers that are forwarded. */
const FORWARDED_PREFIX = 'x-forward-';

/** Headers that limpetnotch adds to each attempt. */
export interface AttemptHeaders {
  readonly callId: string;
  readonly organisation: string;
  readonly traceParent: string;
}

const isForwarded = (name: string): boolean =>
  FORWARDED_HEADERS.has(name) || name.startsWith(FORWARDED_PREFIX);

/** Builds the headers of a request to a target from an allow-list. */
export const buildTargetHeaders = (
  callerHeaders: readonly Header[],
  { callId, organisation, traceParent }: AttemptHeaders,
): Readonly<Record<string, string>> => ({
  ...Object.fromEntries(
    callerHeaders
      .map(({ name, value }) => [name.toLowerCase(), value] as const)
      .filter(([name]) => isForwarded(name)),
  ),
  'idempotency-key': callId,
  'x-request-id': callId,
  'limpetnotch-organisation': organisation,
  ...(traceParent === '' ? {} : { traceparent: traceParent }),
});

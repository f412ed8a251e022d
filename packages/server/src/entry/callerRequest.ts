import type { ServerResponse } from 'node:http';

/** A request as received from a caller. */
export interface CallerRequest {
  readonly method: string;
  readonly pathAndQuery: string;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array;
  /** Network address of the caller. */
  readonly source: string;
  readonly response: ServerResponse;
}

/** Returns the headers by lower-case name; the first value of a repeated header wins. */
export const parseRawHeaders = (
  rawHeaders: readonly string[],
): Readonly<Record<string, string>> => {
  const headers: Record<string, string> = {};
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    headers[name] ??= rawHeaders[index + 1] ?? '';
  }
  return headers;
};

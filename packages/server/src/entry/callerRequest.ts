import type { ServerResponse } from 'node:http';

/** A request as it came from a caller. */
export interface CallerRequest {
  readonly method: string;
  readonly pathAndQuery: string;
  /** Names and values in turn, as they came. */
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array;
  /** Address of the caller. */
  readonly source: string;
  readonly response: ServerResponse;
}

/** Returns the headers by lower-case name; the first value of a header that came twice. */
export const headersOf = (rawHeaders: readonly string[]): Readonly<Record<string, string>> => {
  const headers: Record<string, string> = {};
  for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
    const name = (rawHeaders[index] ?? '').toLowerCase();
    headers[name] ??= rawHeaders[index + 1] ?? '';
  }
  return headers;
};

import type { Client, Dispatcher } from 'undici';

/**
 * A target in the same region accepts a connection within milliseconds; a longer wait means that the
 * target is unreachable.
 */
export const CONNECT_TIMEOUT_MILLISECONDS = 400;

/** Shorter than common server idle timeouts, so that a request rarely hits a closing connection. */
const KEEP_ALIVE_MILLISECONDS = 4_000;

/** A request as it is sent to a target. */
export interface TargetRequest {
  /** Identifier that the target repeats in its response. */
  readonly id: string;
  /** Returns the identifier in a response, from alternating names and values of its headers. */
  readonly decodeResponseId: (rawHeaders: readonly string[]) => string | undefined;
  readonly method: string;
  readonly pathAndQuery: string;
  /**
   * Returns alternating names and values. Called when the request is assigned a connection, since
   * the headers tell the target how much time remains.
   */
  readonly headers: () => string[];
  readonly body: Buffer;
}

export const CLIENT_OPTIONS: Client.Options = {
  pipelining: 1,
  keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
  headersTimeout: 0,
  bodyTimeout: 0,
};

/** Converts a request to undici's options; its headers are computed at this moment. */
export const toDispatchOptions = (request: TargetRequest): Dispatcher.DispatchOptions => ({
  method: request.method,
  path: request.pathAndQuery,
  headers: request.headers(),
  body: request.body.length > 0 ? request.body : null,
});

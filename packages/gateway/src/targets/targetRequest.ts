import type { Client, Dispatcher } from 'undici';

/** A target in the same region answers in milliseconds; a longer wait means that it is cut off. */
export const CONNECT_TIMEOUT_MILLISECONDS = 400;

/** Shorter than the idle time of usual servers, so that a request rarely meets a closing connection. */
const KEEP_ALIVE_MILLISECONDS = 4_000;

/** One request as it goes to a target. */
export interface TargetRequest {
  readonly method: string;
  readonly pathAndQuery: string;
  /**
   * Returns names and values by turns. It is called when the request gets its connection, as they
   * tell the target how much time is left.
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

/** Turns a request into what undici takes, with its headers as of now. */
export const toDispatchOptions = (request: TargetRequest): Dispatcher.DispatchOptions => ({
  method: request.method,
  path: request.pathAndQuery,
  headers: request.headers(),
  body: request.body.length > 0 ? request.body : null,
});

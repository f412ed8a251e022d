import type { Readable } from 'node:stream';
import { errAsync, ResultAsync } from 'neverthrow';
import { Agent } from 'undici';
import type { AttemptError } from './attemptError';
import { toAttemptError } from './attemptError';

const CONNECT_TIMEOUT_MILLISECONDS = 1_000;
const KEEP_ALIVE_MILLISECONDS = 4_000;

/** Maximum number of informational (1xx) responses per request; no real target sends this many. */
const MAXIMUM_INFORMATIONAL_RESPONSES = 16;

/** Statuses above belong to no response; failing targets send them. */
const LAST_FINAL_STATUS = 599;

/** One HTTP request to a target. */
export interface TargetRequest {
  /** Base address of the target. */
  readonly address: string;
  readonly method: string;
  readonly pathAndQuery: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  /** Time without any byte after which the connection counts as unresponsive, in milliseconds. */
  readonly progressDeadlineMilliseconds: number;
  readonly signal: AbortSignal;
}

/** Head of a target's response, with the body still to be read. */
export interface TargetResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>;
  readonly body: Readable;
}

/** Sends requests to targets, with one connection pool per target. */
export class TargetClient {
  readonly #agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MILLISECONDS },
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    pipelining: 1,
  });

  /** Sends a request and resolves when the head of the response has arrived. */
  send(request: TargetRequest): ResultAsync<TargetResponse, AttemptError> {
    if (request.signal.aborted) return errAsync({ kind: 'not-sent', detail: 'cancelled' });
    return ResultAsync.fromPromise(this.#send(request), (error) =>
      toAttemptError(error, request.signal.aborted),
    );
  }

  /** Closes all connections; requests in progress fail. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(request: TargetRequest): Promise<TargetResponse> {
    const { origin, pathname } = new URL(request.address);
    const informationalLimit = new AbortController();
    let informationalResponses = 0;
    const countInformational = (): void => {
      informationalResponses += 1;
      if (informationalResponses <= MAXIMUM_INFORMATIONAL_RESPONSES) return;
      informationalLimit.abort(new Error('informational answers without end'));
    };
    const { statusCode, headers, body } = await this.#agent.request({
      origin,
      path: `${pathname.replace(/\/$/, '')}${request.pathAndQuery}`,
      method: request.method,
      headers: request.headers,
      body: request.body.length > 0 ? request.body : null,
      headersTimeout: request.progressDeadlineMilliseconds,
      bodyTimeout: request.progressDeadlineMilliseconds,
      signal: AbortSignal.any([request.signal, informationalLimit.signal]),
      onInfo: countInformational,
    });
    if (statusCode > LAST_FINAL_STATUS) {
      body.on('error', () => undefined).destroy();
      throw new Error(`status ${statusCode}`);
    }
    return { status: statusCode, headers, body };
  }
}

import type { ServerResponse } from 'node:http';
import type { CallEnvelope } from './callEnvelope';
import type { Refusal } from './refusal';
import { statusOf } from './refusal';
import type { WireCodec } from './wireCodec';

/** Options of the response writer. */
export interface ResponseWriterOptions {
  readonly codec: WireCodec;
  /** Whether a response is the last one on its connection, as during a shutdown. */
  readonly isLastOnConnection: (response: ServerResponse) => boolean;
}

const getRetryAfterSeconds = (refusal: Refusal): number | undefined =>
  'retryAfterSeconds' in refusal ? refusal.retryAfterSeconds : undefined;

/** Returns the JSON body of a refusal. */
const toRefusalBody = (refusal: Refusal): object => {
  if (refusal.kind !== 'quarantined') return { error: refusal.kind };
  return {
    error: refusal.kind,
    detail:
      'not run: targets crashed that ran this request; it is refused as long as it is the same',
    digest: refusal.digest,
  };
};

/** Writes responses to callers. */
export class ResponseWriter {
  readonly #options: ResponseWriterOptions;

  constructor(options: ResponseWriterOptions) {
    this.#options = options;
  }

  /** Writes the head of a response whose body follows. */
  writeHead(response: ServerResponse, status: number, headers: readonly string[]): void {
    response.writeHead(status, [...headers, ...this.#connectionHeaders(response)]);
  }

  /** Writes a complete response. */
  writeResponse(
    response: ServerResponse,
    status: number,
    headers: readonly string[],
    body: readonly Buffer[],
  ): void {
    const bytes = body.reduce((sum, { length }) => sum + length, 0);
    // Sends the head and a short body in one packet.
    response.cork();
    this.writeHead(response, status, [...headers, 'content-length', String(bytes)]);
    body.forEach((chunk) => response.write(chunk));
    response.end();
    response.uncork();
  }

  /** Sends a refusal of the gateway itself; closes the connection if a response has started. */
  refuse(response: ServerResponse, envelope: CallEnvelope | undefined, refusal: Refusal): void {
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const headers = this.#options.codec.encodeGatewayResponse(
      envelope,
      getRetryAfterSeconds(refusal),
    );
    const body = Buffer.from(`${JSON.stringify(toRefusalBody(refusal))}\n`);
    this.writeResponse(
      response,
      statusOf(refusal),
      [...headers, 'content-type', 'application/json'],
      [body],
    );
  }

  #connectionHeaders(response: ServerResponse): readonly string[] {
    return this.#options.isLastOnConnection(response) ? ['connection', 'close'] : [];
  }
}

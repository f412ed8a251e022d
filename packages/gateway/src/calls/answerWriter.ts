import type { ServerResponse } from 'node:http';
import type { CallEnvelope } from './callEnvelope';
import type { Refusal } from './refusal';
import { statusOf } from './refusal';
import type { WireCodec } from './wireCodec';

/** Options of {@link AnswerWriter}. */
export interface AnswerWriterOptions {
  readonly codec: WireCodec;
  /** Whether an answer is the last of its connection, as during a shutdown. */
  readonly isLast: (response: ServerResponse) => boolean;
}

const retryAfterOf = (refusal: Refusal): number | undefined =>
  'retryAfterSeconds' in refusal ? refusal.retryAfterSeconds : undefined;

/** Returns what the body of a refusal tells its caller. */
const explanationOf = (refusal: Refusal): object => {
  if (refusal.kind !== 'quarantined') return { error: refusal.kind };
  return {
    error: refusal.kind,
    detail:
      'not run: targets crashed that ran this request; it is refused as long as it is the same',
    digest: refusal.digest,
  };
};

/** Writes answers to callers. */
export class AnswerWriter {
  readonly #options: AnswerWriterOptions;

  constructor(options: AnswerWriterOptions) {
    this.#options = options;
  }

  /** Writes the head of an answer whose body follows. */
  head(response: ServerResponse, status: number, headers: readonly string[]): void {
    response.writeHead(status, [...headers, ...this.#connectionHeaders(response)]);
  }

  /** Writes a whole answer. */
  whole(
    response: ServerResponse,
    status: number,
    headers: readonly string[],
    body: readonly Buffer[],
  ): void {
    const bytes = body.reduce((sum, { length }) => sum + length, 0);
    // One packet takes the head and a short body.
    response.cork();
    this.head(response, status, [...headers, 'content-length', String(bytes)]);
    body.forEach((chunk) => response.write(chunk));
    response.end();
    response.uncork();
  }

  /** Answers for the gateway itself; cuts an answer off that has begun. */
  refuse(response: ServerResponse, envelope: CallEnvelope | undefined, refusal: Refusal): void {
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const headers = this.#options.codec.encodeOwnAnswer(envelope, retryAfterOf(refusal));
    const body = Buffer.from(`${JSON.stringify(explanationOf(refusal))}\n`);
    this.whole(
      response,
      statusOf(refusal),
      [...headers, 'content-type', 'application/json'],
      [body],
    );
  }

  #connectionHeaders(response: ServerResponse): readonly string[] {
    return this.#options.isLast(response) ? ['connection', 'close'] : [];
  }
}

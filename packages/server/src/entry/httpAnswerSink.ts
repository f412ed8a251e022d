import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import type { AnswerEnd, AnswerHead } from '@limpetnotch/peer-protocol';
import { Durability } from '@limpetnotch/peer-protocol';
import { EXECUTED_HEADER } from '../problems/executedHeader';
import type { Problem } from '../problems/problem';
import { createProblemDocument, computeRetryAfterSeconds } from '../problems/problem';
import type { AnswerSink } from './answerSink';

const EVENT_STREAM = 'text/event-stream';
const DURABILITY_TRAILER = 'limpetnotch-durability';

/** Options of {@link HttpAnswerSink}. */
export interface HttpAnswerSinkOptions {
  readonly response: ServerResponse;
  /** Full path of the program, sent to the caller; `undefined` for a single-call program. */
  readonly program: string | undefined;
  /** Key with which the caller can request the same answer again; `undefined` on open routes. */
  readonly idempotencyKey: string | undefined;
  /** Maps a problem to the one reported to the caller. */
  readonly mapProblem: (problem: Problem) => Problem;
}

/** Writes an answer to the caller's HTTP connection. */
export class HttpAnswerSink implements AnswerSink {
  readonly #options: HttpAnswerSinkOptions;

  #head: AnswerHead | undefined;

  constructor(options: HttpAnswerSinkOptions) {
    this.#options = options;
  }

  get started(): boolean {
    return this.#head !== undefined;
  }

  start(head: AnswerHead): void {
    const { response, program, idempotencyKey } = this.#options;
    this.#head = head;
    head.headers.forEach(({ name, value }) => response.setHeader(name, value));
    response.setHeader('limpetnotch-sequence', String(head.sequence));
    response.setHeader(EXECUTED_HEADER, 'yes');
    response.setHeader('trailer', DURABILITY_TRAILER);
    if (program !== undefined) response.setHeader('limpetnotch-program', program);
    if (idempotencyKey !== undefined) response.setHeader('idempotency-key', idempotencyKey);
    if (head.replayed) response.setHeader('limpetnotch-replayed', 'true');
    response.writeHead(head.status);
    response.flushHeaders();
  }

  async write(bytes: Uint8Array): Promise<void> {
    const { response } = this.#options;
    if (response.destroyed || response.write(bytes)) return;
    await Promise.race([once(response, 'drain'), once(response, 'close')]);
  }

  end({ durability }: AnswerEnd): void {
    const { response } = this.#options;
    const durabilityText = durability === Durability.DEFERRED ? 'deferred' : 'durable';
    response.addTrailers({ [DURABILITY_TRAILER]: durabilityText });
    response.end();
  }

  fail(problem: Problem): void {
    const callerProblem = this.#options.mapProblem(problem);
    if (this.#head) this.#failStarted(callerProblem);
    else this.#sendProblemDocument(callerProblem);
  }

  #sendProblemDocument(problem: Problem): void {
    const { response } = this.#options;
    if (response.headersSent || response.destroyed) return;
    const document = createProblemDocument(problem);
    const retryAfter = computeRetryAfterSeconds(problem);
    if (retryAfter !== undefined) response.setHeader('retry-after', String(retryAfter));
    response.setHeader(EXECUTED_HEADER, document.executed);
    response.setHeader('content-type', 'application/problem+json');
    response.writeHead(document.status);
    response.end(JSON.stringify(document));
  }

  /**
   * Ends a stream with an error event; cuts any other body, so that it cannot pass for complete.
   */
  #failStarted(problem: Problem): void {
    const { response } = this.#options;
    const contentType = String(response.getHeader('content-type') ?? '');
    if (!contentType.startsWith(EVENT_STREAM)) {
      response.destroy();
      return;
    }
    response.end(`event: error\ndata: ${JSON.stringify(createProblemDocument(problem))}\n\n`);
  }
}

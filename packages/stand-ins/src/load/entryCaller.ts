import type { Dispatcher } from 'undici';
import { Agent, request } from 'undici';
import type { CallResult } from './callResult';
import { parseEventStream, parseProblem } from './eventStream';

const FIRST_ERROR_STATUS = 300;
const MILLISECONDS_PER_SECOND = 1_000;
const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;

/** One call to an entry. */
export interface EntryCall {
  readonly entry: string;
  readonly path: string;
  readonly method?: 'POST' | 'GET' | 'DELETE';
  readonly key?: string;
  readonly program?: string;
  readonly idempotencyKey?: string;
  readonly body?: object;
  readonly headers?: Readonly<Record<string, string>>;
  /** Time after which the caller gives up; 30 seconds by default. */
  readonly timeoutMilliseconds?: number;
  /** Aborts the call, like a caller that disconnects. */
  readonly signal?: AbortSignal;
  /** Called with each part of the response body as it arrives. */
  readonly onPart?: (part: string) => void;
}

const buildHeaders = (call: EntryCall): Record<string, string> => ({
  ...(call.body ? { 'content-type': 'application/json' } : {}),
  ...(call.key === undefined ? {} : { authorization: `Bearer ${call.key}` }),
  ...(call.program === undefined ? {} : { 'limpetnotch-program': call.program }),
  ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
  ...call.headers,
});

const getFirstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

interface ReadResponse {
  readonly text: string;
  readonly firstByteMilliseconds: number | undefined;
}

const readBody = async (
  body: Dispatcher.ResponseData['body'],
  startedAt: number,
  onPart: EntryCall['onPart'],
): Promise<ReadResponse> => {
  const chunks: Buffer[] = [];
  let firstByteMilliseconds: number | undefined;
  for await (const chunk of body) {
    firstByteMilliseconds ??= performance.now() - startedAt;
    chunks.push(chunk as Buffer);
    onPart?.(String(chunk));
  }
  return { text: Buffer.concat(chunks).toString('utf8'), firstByteMilliseconds };
};

/** Calls entries as callers do, with a connection of its own for each call in progress. */
export class EntryCaller {
  readonly #agent = new Agent({ connections: 256, headersTimeout: 0, bodyTimeout: 0 });

  /** Makes one call; never rejects. */
  async call(call: EntryCall): Promise<CallResult> {
    const startedAt = performance.now();
    const controller = new AbortController();
    const abort = (): void =>
      controller.abort(new Error('the caller disconnected or its timeout expired'));
    const timeout = call.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    const timer = setTimeout(abort, timeout);
    call.signal?.addEventListener('abort', abort, { once: true });
    try {
      const response = await request(`${call.entry}${call.path}`, {
        method: call.method ?? 'POST',
        headers: buildHeaders(call),
        ...(call.body ? { body: JSON.stringify(call.body) } : {}),
        dispatcher: this.#agent,
        signal: controller.signal,
      });
      const read = await readBody(response.body, startedAt, call.onPart);
      return EntryCaller.#toResult(response, read, startedAt);
    } catch (failure) {
      return {
        kind: 'broken',
        detail: failure instanceof Error ? failure.message : String(failure),
      };
    } finally {
      clearTimeout(timer);
      call.signal?.removeEventListener('abort', abort);
    }
  }

  close(): Promise<void> {
    return this.#agent.destroy();
  }

  static #toResult(
    { statusCode, headers }: Dispatcher.ResponseData,
    { text, firstByteMilliseconds }: ReadResponse,
    startedAt: number,
  ): CallResult {
    const retryAfter = getFirstValue(headers['retry-after']);
    if (statusCode >= FIRST_ERROR_STATUS) {
      return EntryCaller.#toProblem(statusCode, text, retryAfter);
    }
    const isStream =
      getFirstValue(headers['content-type'])?.startsWith('text/event-stream') ?? false;
    const streamed = isStream ? parseEventStream(text) : undefined;
    if (streamed?.problem) {
      return EntryCaller.#toProblem(
        streamed.problem.status,
        JSON.stringify(streamed.problem),
        undefined,
      );
    }
    if (streamed && !streamed.isComplete) return { kind: 'broken', detail: 'truncated stream' };
    const sequence = getFirstValue(headers['limpetnotch-sequence']);
    return {
      kind: 'answered',
      status: statusCode,
      text: streamed?.text ?? text,
      sequence: sequence === undefined ? undefined : Number(sequence),
      isReplay: headers['limpetnotch-replayed'] !== undefined,
      milliseconds: performance.now() - startedAt,
      firstTokenMilliseconds: firstByteMilliseconds,
    };
  }

  static #toProblem(status: number, text: string, retryAfter: string | undefined): CallResult {
    const document = parseProblem(text);
    return {
      kind: 'problem',
      status,
      problem: document?.type.split(':').at(-1) ?? 'no-problem-document',
      executed: document?.executed ?? 'unknown',
      detail: document?.detail ?? text,
      retryAfterMilliseconds:
        retryAfter === undefined ? undefined : Number(retryAfter) * MILLISECONDS_PER_SECOND,
    };
  }
}

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
  /** Ends the call as a caller does that goes away. */
  readonly signal?: AbortSignal;
  /** Called with each part of the answer's body as it comes. */
  readonly onPart?: (part: string) => void;
}

const headersOf = (call: EntryCall): Record<string, string> => ({
  ...(call.body ? { 'content-type': 'application/json' } : {}),
  ...(call.key === undefined ? {} : { authorization: `Bearer ${call.key}` }),
  ...(call.program === undefined ? {} : { 'limpetnotch-program': call.program }),
  ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
  ...call.headers,
});

const single = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

interface ReadAnswer {
  readonly text: string;
  readonly firstByteMilliseconds: number | undefined;
}

const readBody = async (
  body: Dispatcher.ResponseData['body'],
  startedAt: number,
  onPart: EntryCall['onPart'],
): Promise<ReadAnswer> => {
  const chunks: Buffer[] = [];
  let firstByteMilliseconds: number | undefined;
  for await (const chunk of body) {
    firstByteMilliseconds ??= performance.now() - startedAt;
    chunks.push(chunk as Buffer);
    onPart?.(String(chunk));
  }
  return { text: Buffer.concat(chunks).toString('utf8'), firstByteMilliseconds };
};

/** Calls entries as callers do, one connection at a time for each call under way. */
export class EntryCaller {
  readonly #agent = new Agent({ connections: 256, headersTimeout: 0, bodyTimeout: 0 });

  /** Makes one call; never throws. */
  async call(call: EntryCall): Promise<CallResult> {
    const startedAt = performance.now();
    const controller = new AbortController();
    const abort = (): void => controller.abort(new Error('the caller went away'));
    const timeout = call.timeoutMilliseconds ?? DEFAULT_TIMEOUT_MILLISECONDS;
    const timer = setTimeout(abort, timeout);
    call.signal?.addEventListener('abort', abort, { once: true });
    try {
      const answer = await request(`${call.entry}${call.path}`, {
        method: call.method ?? 'POST',
        headers: headersOf(call),
        ...(call.body ? { body: JSON.stringify(call.body) } : {}),
        dispatcher: this.#agent,
        signal: controller.signal,
      });
      const read = await readBody(answer.body, startedAt, call.onPart);
      return EntryCaller.#result(answer, read, startedAt);
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

  static #result(
    { statusCode, headers }: Dispatcher.ResponseData,
    { text, firstByteMilliseconds }: ReadAnswer,
    startedAt: number,
  ): CallResult {
    const retryAfter = single(headers['retry-after']);
    if (statusCode >= FIRST_ERROR_STATUS) {
      return EntryCaller.#problem(statusCode, text, retryAfter);
    }
    const isStream = single(headers['content-type'])?.startsWith('text/event-stream') ?? false;
    const streamed = isStream ? parseEventStream(text) : undefined;
    if (streamed?.problem) {
      return EntryCaller.#problem(
        streamed.problem.status,
        JSON.stringify(streamed.problem),
        undefined,
      );
    }
    if (streamed && !streamed.isWhole) return { kind: 'broken', detail: 'the stream was cut' };
    const sequence = single(headers['limpetnotch-sequence']);
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

  static #problem(status: number, text: string, retryAfter: string | undefined): CallResult {
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

import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { ExchangeError } from './exchangeError';
import { AnswerBrokenError } from './exchangeError';
import { isFinalStatus } from './isFinalStatus';
import type { ResponseFraming } from './responseFraming';
import { responseFramingOf } from './responseFraming';
import type { TargetExchange } from './targetExchange';
import type { TargetResponse } from './targetResponse';

/**
 * Nothing listens at the address. A reset does not prove that: a target at its connection limit
 * resets the next connection.
 */
const REFUSED_CODE = 'ECONNREFUSED';

const codeOf = (error: Error): string => ('code' in error ? String(error.code) : error.name);

const rawHeadersOf = (headers: Record<string, string | string[] | undefined>): string[] =>
  Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap((one) => [name, one]),
  );

/** Cost of unread chunks of a response, in bytes, beyond which reading is paused. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;

/** Chunks below this size are tiny; a legitimate event is larger. */
const TINY_CHUNK_BYTES = 16;

/** Maximum number of tiny chunks in one response. */
const MAXIMUM_TINY_CHUNKS = 10_000;

/** Memory that a chunk takes beside its payload; a chunk may have a single byte. */
const CHUNK_OVERHEAD_BYTES = 256;

/** Maximum number of 1xx responses before the final one; legitimate targets send fewer. */
const MAXIMUM_INFORMATIONAL_RESPONSES = 16;

/** Joins chunks, so that a reader handles many small ones at once. */
const joinChunks = (chunks: readonly Buffer[]): Buffer => {
  const [first] = chunks;
  return first && chunks.length === 1 ? first : Buffer.concat(chunks);
};

/** The connection on which an exchange is sent, as far as the exchange uses it. */
export interface ConnectionHandle {
  readonly connection: {
    readonly bytesRead: number;
    readonly failureCode: string | undefined;
  };
  /** Whether a response with these headers belongs to the request of the exchange. */
  readonly isOwnResponse: (rawHeaders: readonly string[]) => boolean;
  /** Called once when the exchange no longer needs the connection; tells whether it is reusable. */
  readonly onRelease: (isReusable: boolean) => void;
}

/** One request on one connection to a target, from its dispatch to the end of the response. */
export class Exchange implements Dispatcher.DispatchHandler, TargetExchange {
  #connectionHandle: ConnectionHandle | undefined;

  readonly #head = new Deferred<Result<TargetResponse, ExchangeError>>();

  #chunks: Buffer[] = [];

  #bufferedBytes = 0;

  #tinyChunks = 0;

  #informationalResponses = 0;

  /** Bytes read from the connection when the last part of the response was parsed. */
  #bytesReadAtLastPart = 0;

  #wakeReader: (() => void) | undefined;

  #state: 'connecting' | 'sent' | 'answering' | 'complete' | 'failed' = 'connecting';

  #failure: ExchangeError | undefined;

  #abortDetail: string | undefined;

  #controller: Dispatcher.DispatchController | undefined;

  #sentAtMilliseconds: number | undefined;

  #framing: ResponseFraming | undefined;

  #connectionFailureCode: string | undefined;

  /** Whether the response is complete or has failed. */
  get hasEnded(): boolean {
    return this.#state === 'complete' || this.#state === 'failed';
  }

  get head(): Promise<Result<TargetResponse, ExchangeError>> {
    return this.#head.promise;
  }

  get wasSent(): boolean {
    return this.#controller !== undefined;
  }

  get sentAtMilliseconds(): number | undefined {
    return this.#sentAtMilliseconds;
  }

  get framing(): ResponseFraming | undefined {
    return this.#framing;
  }

  get connectionFailureCode(): string | undefined {
    return this.#connectionFailureCode;
  }

  get unparsedBytes(): number {
    if (!this.wasSent) return 0;
    return this.#bytesReadOnConnection - this.#bytesReadAtLastPart;
  }

  /** Sets the connection on which the exchange is sent. */
  attach(handle: ConnectionHandle): void {
    this.#connectionHandle = handle;
  }

  /** Fails an exchange that has not been assigned a connection. */
  failUnsent(detail: string): void {
    this.#fail({ kind: 'not-sent', detail, isRefused: false, hasConnectionFailed: false });
  }

  /** Aborts the exchange and closes its connection, so that the target stops working on it. */
  abort(detail: string): void {
    if (this.hasEnded) return;
    this.#abortDetail = detail;
    this.#controller?.abort(new Error(detail));
    this.#fail({ kind: 'aborted', detail });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    this.#sentAtMilliseconds = performance.now();
    if (this.#abortDetail !== undefined) {
      controller.abort(new Error(this.#abortDetail));
      return;
    }
    this.#state = 'sent';
    this.#recordPart();
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    // Informational (1xx) responses precede the final one.
    if (status < 200) {
      this.#informationalResponses += 1;
      if (this.#informationalResponses <= MAXIMUM_INFORMATIONAL_RESPONSES) return;
      this.#reject(controller, 'excessive', 'too many informational responses');
      return;
    }
    if (!isFinalStatus(status)) {
      this.#reject(controller, 'broken', `status ${status}`);
      return;
    }
    const rawHeaders = rawHeadersOf(headers);
    // The response to this request still follows, so that the connection can carry no other one.
    if (this.#connectionHandle?.isOwnResponse(rawHeaders) === false) {
      this.#reject(controller, 'broken', 'response to another request');
      return;
    }
    this.#state = 'answering';
    const framing = responseFramingOf(headers);
    this.#framing = framing;
    this.#recordPart();
    this.#head.resolve(ok({ status, rawHeaders, framing, body: this.#read() }));
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#recordPart();
    if (chunk.length < TINY_CHUNK_BYTES) this.#tinyChunks += 1;
    if (this.#tinyChunks > MAXIMUM_TINY_CHUNKS) {
      this.#reject(controller, 'excessive', 'too many tiny chunks');
      return;
    }
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length + CHUNK_OVERHEAD_BYTES;
    if (this.#bufferedBytes > MAXIMUM_BUFFERED_BYTES) controller.pause();
    this.#wakeReader?.();
  }

  onResponseEnd(): void {
    this.#recordConnectionFailure();
    const code = this.#connectionFailureCode;
    // The client takes any end of the connection for the end of such a response.
    const isCutOff = this.#framing === 'until-close' && code !== undefined;
    if (isCutOff) this.#fail({ kind: 'broken', detail: `${code} before the end of the response` });
    this.#connectionHandle?.onRelease(!isCutOff);
    if (this.#state === 'failed') return;
    this.#state = 'complete';
    this.#wakeReader?.();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#recordConnectionFailure();
    this.#connectionHandle?.onRelease(false);
    const detail = `${codeOf(error)} ${error.message}`;
    this.#fail(
      this.wasSent
        ? { kind: 'broken', detail }
        : {
            kind: 'not-sent',
            detail,
            isRefused: codeOf(error) === REFUSED_CODE,
            hasConnectionFailed: true,
          },
    );
  }

  get #bytesReadOnConnection(): number {
    return this.#connectionHandle?.connection.bytesRead ?? 0;
  }

  /** Called when the response ends: afterwards the client may destroy the connection itself. */
  #recordConnectionFailure(): void {
    this.#connectionFailureCode ??= this.#connectionHandle?.connection.failureCode;
  }

  #recordPart(): void {
    this.#bytesReadAtLastPart = this.#bytesReadOnConnection;
  }

  /** Fails on a response that must not be used, and closes its connection. */
  #reject(
    controller: Dispatcher.DispatchController,
    kind: 'broken' | 'excessive',
    detail: string,
  ): void {
    this.#fail({ kind, detail });
    controller.abort(new Error(detail));
  }

  #fail(failure: ExchangeError): void {
    if (this.hasEnded) return;
    this.#state = 'failed';
    this.#failure = failure;
    this.#head.resolve(err(failure));
    this.#wakeReader?.();
  }

  async *#read(): AsyncGenerator<Buffer> {
    for (;;) {
      const chunks = this.#chunks;
      this.#chunks = [];
      this.#bufferedBytes = 0;
      if (chunks.length > 0) yield joinChunks(chunks);
      this.#controller?.resume();
      if (this.#chunks.length === 0) {
        if (this.#failure) throw new AnswerBrokenError(this.#failure);
        if (this.#state === 'complete') return;
        await new Promise<void>((resolve) => {
          this.#wakeReader = resolve;
        });
        this.#wakeReader = undefined;
      }
    }
  }
}

import { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Dispatcher } from 'undici';
import type { ExchangeError } from './exchangeError';
import { AnswerBrokenError } from './exchangeError';

/** Head of an answer and its body, which is read once. */
export interface OpenAnswer {
  readonly status: number;
  /** Names and values by turns. */
  readonly rawHeaders: readonly string[];
  /** Throws an {@link AnswerBrokenError} where the answer ends early. */
  readonly body: AsyncIterable<Buffer>;
}

/**
 * Nobody listens at the address. A reset says less: a target at its limit of connections resets
 * the next one.
 */
const REFUSED_CODE = 'ECONNREFUSED';

const codeOf = (error: Error): string => ('code' in error ? String(error.code) : error.name);

const rawHeadersOf = (headers: Record<string, string | string[] | undefined>): string[] =>
  Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap((one) => [name, one]),
  );

/** One request on one connection to a target, from its dispatch to the end of the answer. */
export class Exchange implements Dispatcher.DispatchHandler {
  readonly #onRelease: () => void;

  readonly #head = new Deferred<Result<OpenAnswer, ExchangeError>>();

  #chunks: Buffer[] = [];

  #wakeReader: (() => void) | undefined;

  #state: 'connecting' | 'sent' | 'answering' | 'complete' | 'failed' = 'connecting';

  #failure: ExchangeError | undefined;

  #abortDetail: string | undefined;

  #controller: Dispatcher.DispatchController | undefined;

  /** Takes what is called once when the exchange needs its connection no more. */
  constructor(onRelease: () => void = () => undefined) {
    this.#onRelease = onRelease;
  }

  /** Whether the answer is complete, or can't be any more. */
  get isOver(): boolean {
    return this.#state === 'complete' || this.#state === 'failed';
  }

  /** Resolves when the head of the answer is there, or can't come any more. */
  get head(): Promise<Result<OpenAnswer, ExchangeError>> {
    return this.#head.promise;
  }

  /** Whether the request, or part of it, may have reached the target. */
  get wasSent(): boolean {
    return this.#controller !== undefined;
  }

  /** Gives the exchange up and closes its connection, so that the target stops work. */
  abort(detail: string): void {
    if (this.isOver) return;
    this.#abortDetail = detail;
    this.#controller?.abort(new Error(detail));
    this.#fail({ kind: 'aborted', detail });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.#controller = controller;
    if (this.#abortDetail !== undefined) {
      controller.abort(new Error(this.#abortDetail));
      return;
    }
    this.#state = 'sent';
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>,
  ): void {
    // Informational answers precede the real one.
    if (status < 200) return;
    this.#state = 'answering';
    this.#head.resolve(ok({ status, rawHeaders: rawHeadersOf(headers), body: this.#read() }));
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#wakeReader?.();
  }

  onResponseEnd(): void {
    this.#onRelease();
    if (this.#state === 'failed') return;
    this.#state = 'complete';
    this.#wakeReader?.();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    this.#onRelease();
    const detail = `${codeOf(error)} ${error.message}`;
    this.#fail(
      this.wasSent
        ? { kind: 'broken', detail }
        : { kind: 'not-sent', detail, isRefused: codeOf(error) === REFUSED_CODE },
    );
  }

  #fail(failure: ExchangeError): void {
    if (this.isOver) return;
    this.#state = 'failed';
    this.#failure = failure;
    this.#head.resolve(err(failure));
    this.#wakeReader?.();
  }

  async *#read(): AsyncGenerator<Buffer> {
    for (;;) {
      const chunks = this.#chunks;
      this.#chunks = [];
      yield* chunks;
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

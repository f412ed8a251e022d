import { Deferred, settleWithin } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { ExchangeError } from '../targets/exchangeError';
import { AnswerBrokenError } from '../targets/exchangeError';
import type { ResponseFraming } from '../targets/responseFraming';
import { isFinalStatus } from '../targets/isFinalStatus';
import type { TargetExchange } from '../targets/targetExchange';
import type { TargetResponse } from '../targets/targetResponse';
import type { ForwardedPart } from './forwardedPart';

/** A forwarder sends something in shorter intervals; a longer silence means that it is lost. */
const HOP_SILENCE_MILLISECONDS = 800;

/** Instances that are tried before there is no path; those that decline cost one round trip. */
const MAXIMUM_FORWARDERS = 4;

/** An instance through which an exchange goes. */
export interface Forwarder {
  readonly name: string;
  readonly open: (signal: AbortSignal) => AsyncIterable<ForwardedPart>;
  /** Called once when the exchange no longer uses the instance. */
  readonly close: (end: ForwarderEnd) => void;
}

/** How an instance through which an exchange went has served it. */
export type ForwarderEnd = 'used' | 'declined' | 'target-unavailable' | 'lost';

/** What came first from a forwarder. */
type Opening =
  | { readonly kind: 'not-accepted' }
  | { readonly kind: 'failed'; readonly error: ExchangeError }
  | { readonly kind: 'head'; readonly response: TargetResponse };

const toNotSentError = (detail: string, isRefused: boolean): ExchangeError => ({
  kind: 'not-sent',
  detail,
  isRefused,
  hasConnectionFailed: false,
});

/**
 * One request that another instance sends to a target. It goes through one instance at a time, and
 * through another one only if the one before has not tried to send it. A hop that breaks is an
 * exchange that may have run.
 */
export class ForwardedExchange implements TargetExchange {
  readonly #nextForwarder: () => Forwarder | undefined;

  readonly #head = new Deferred<Result<TargetResponse, ExchangeError>>();

  readonly #abortController = new AbortController();

  #abortDetail: string | undefined;

  #forwarder: Forwarder | undefined;

  #sentAtMilliseconds: number | undefined;

  #framing: ResponseFraming | undefined;

  readonly connectionFailureCode = undefined;

  readonly unparsedBytes = 0;

  private constructor(nextForwarder: () => Forwarder | undefined) {
    this.#nextForwarder = nextForwarder;
  }

  /** Starts an exchange through the first instance that accepts it. */
  static start(nextForwarder: () => Forwarder | undefined): ForwardedExchange {
    const exchange = new ForwardedExchange(nextForwarder);
    void exchange.#run();
    return exchange;
  }

  get head(): Promise<Result<TargetResponse, ExchangeError>> {
    return this.#head.promise;
  }

  get wasSent(): boolean {
    return this.#sentAtMilliseconds !== undefined;
  }

  get sentAtMilliseconds(): number | undefined {
    return this.#sentAtMilliseconds;
  }

  get framing(): ResponseFraming | undefined {
    return this.#framing;
  }

  abort(detail: string): void {
    this.#abortDetail ??= detail;
    this.#head.resolve(err({ kind: 'aborted', detail }));
    this.#release('used');
    this.#abortController.abort();
  }

  async #run(): Promise<void> {
    for (let tried = 0; tried < MAXIMUM_FORWARDERS && !this.#isAborted; tried += 1) {
      this.#forwarder = this.#nextForwarder();
      if (!this.#forwarder) break;
      const opening = await this.#open(this.#forwarder);
      switch (opening.kind) {
        case 'head':
          this.#framing = opening.response.framing;
          this.#head.resolve(ok(opening.response));
          return;
        case 'failed':
          this.#head.resolve(err(opening.error));
          return;
        case 'not-accepted':
          break;
      }
    }
    this.#head.resolve(err(toNotSentError('no instance has a path to the target', false)));
  }

  /** Hands the request to an instance and waits for the head of the response. */
  async #open(forwarder: Forwarder): Promise<Opening> {
    this.#sentAtMilliseconds = performance.now();
    const parts = forwarder.open(this.#abortController.signal)[Symbol.asyncIterator]();
    try {
      for (;;) {
        const part = await this.#next(parts);
        switch (part.kind) {
          case 'progress':
            break;
          case 'head': {
            const { status, rawHeaders, framing } = part;
            if (!isFinalStatus(status)) {
              throw this.#lose(`a forwarded response of status ${status}`);
            }
            const body = this.#read(parts);
            return { kind: 'head', response: { status, rawHeaders, framing, body } };
          }
          case 'failure':
            return this.#toOpening(part);
          case 'data':
          case 'end':
            throw this.#lose('a forwarded response without a head');
        }
      }
    } catch (error) {
      if (!(error instanceof AnswerBrokenError)) throw error;
      return { kind: 'failed', error: error.reason };
    }
  }

  #toOpening(part: Extract<ForwardedPart, { kind: 'failure' }>): Opening {
    const { failure, detail } = part;
    if (failure !== 'broken') this.#sentAtMilliseconds = undefined;
    switch (failure) {
      case 'declined':
      case 'target-unavailable':
        this.#release(failure);
        return { kind: 'not-accepted' };
      case 'refused':
      case 'not-sent':
        this.#release('used');
        return { kind: 'failed', error: toNotSentError(detail, failure === 'refused') };
      case 'broken':
        this.#release('used');
        return { kind: 'failed', error: { kind: 'broken', detail } };
    }
  }

  async *#read(parts: AsyncIterator<ForwardedPart>): AsyncGenerator<Buffer> {
    for (;;) {
      const part = await this.#next(parts);
      switch (part.kind) {
        case 'data':
          yield part.bytes;
          break;
        case 'progress':
          break;
        case 'end':
          this.#release('used');
          return;
        case 'failure':
          this.#release('used');
          throw new AnswerBrokenError({ kind: 'broken', detail: part.detail });
        case 'head':
          throw this.#lose('a forwarded response with two heads');
      }
    }
  }

  /** Returns the next part; throws if the hop is lost, which may leave the request running. */
  async #next(parts: AsyncIterator<ForwardedPart>): Promise<ForwardedPart> {
    const received = parts.next().then(
      (result) => (result.done ? 'the forwarder ended early' : result.value),
      (error: unknown) => (error instanceof Error ? error.message : String(error)),
    );
    const part = await settleWithin(
      received,
      HOP_SILENCE_MILLISECONDS,
      () => 'the forwarder sent nothing',
    );
    if (typeof part !== 'string') return part;
    throw this.#lose(part);
  }

  #lose(cause: string): AnswerBrokenError {
    const name = this.#forwarder?.name ?? '';
    if (this.#abortDetail !== undefined) {
      return new AnswerBrokenError({ kind: 'aborted', detail: this.#abortDetail });
    }
    this.#release('lost');
    this.#abortController.abort();
    return new AnswerBrokenError({ kind: 'broken', detail: `through ${name}: ${cause}` });
  }

  get #isAborted(): boolean {
    return this.#abortDetail !== undefined;
  }

  #release(end: ForwarderEnd): void {
    this.#forwarder?.close(end);
    this.#forwarder = undefined;
  }
}

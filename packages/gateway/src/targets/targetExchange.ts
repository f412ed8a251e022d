import type { Result } from 'neverthrow';
import type { ExchangeError } from './exchangeError';
import type { ResponseFraming } from './responseFraming';
import type { TargetResponse } from './targetResponse';

/** One request to a target, from its dispatch to the end of the response. */
export interface TargetExchange {
  /** Resolves when the head of the response has arrived, or when the exchange has failed. */
  readonly head: Promise<Result<TargetResponse, ExchangeError>>;
  /** Whether the request, or part of it, may have reached the target. */
  readonly wasSent: boolean;
  /** When the request was sent, by `performance.now()`; undefined if it was not sent. */
  readonly sentAtMilliseconds: number | undefined;
  /** How the end of the response's body is marked; undefined until its head has arrived. */
  readonly framing: ResponseFraming | undefined;
  /** Code of the connection's error when the response ended; undefined if there was none. */
  readonly connectionFailureCode: string | undefined;
  /** Bytes received since the last parsed part of the response that do not form a part yet. */
  readonly unparsedBytes: number;
  /** Aborts the exchange, so that the target stops working on it. */
  abort(detail: string): void;
}

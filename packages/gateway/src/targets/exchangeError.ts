/** Why a target gave no usable response. */
export type ExchangeError =
  /** No byte of the request was sent. */
  | {
      readonly kind: 'not-sent';
      readonly detail: string;
      /** Whether nothing listens at the address. */
      readonly isRefused: boolean;
      /** Whether a connection could not be opened; otherwise the request never got one. */
      readonly hasConnectionFailed: boolean;
    }
  /** The request may have run: the connection broke, or the response did not match the request. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** The request may have run: the response cost more than one may. */
  | { readonly kind: 'excessive'; readonly detail: string }
  /** This instance aborted the exchange. */
  | { readonly kind: 'aborted'; readonly detail: string };

/** Thrown while the body of a response is read, if the exchange fails before its end. */
export class AnswerBrokenError extends Error {
  readonly reason: ExchangeError;

  constructor(reason: ExchangeError) {
    super(`${reason.kind}: ${reason.detail}`);
    this.name = 'AnswerBrokenError';
    this.reason = reason;
  }
}

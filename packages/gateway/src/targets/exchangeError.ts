/** Why a target gave no usable answer. */
export type ExchangeError =
  /** No byte of the request left this instance; refused where nobody listens at the address. */
  | { readonly kind: 'not-sent'; readonly detail: string; readonly isRefused: boolean }
  /** The request may have run: the connection broke, or the answer was no answer to it. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** This instance gave the exchange up. */
  | { readonly kind: 'aborted'; readonly detail: string };

/** Thrown while an answer's body is read, when the rest of it doesn't come. */
export class AnswerBrokenError extends Error {
  readonly reason: ExchangeError;

  constructor(reason: ExchangeError) {
    super(`${reason.kind}: ${reason.detail}`);
    this.name = 'AnswerBrokenError';
    this.reason = reason;
  }
}

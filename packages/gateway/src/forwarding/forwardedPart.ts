import type { ResponseFraming } from '../targets/responseFraming';

/** Why a forwarding instance has no response of the target. */
export type ForwardingFailure =
  /** It has not sent the request, and sends no others now; another instance may. */
  | 'declined'
  /** It can't send requests to this target; another instance may. */
  | 'target-unavailable'
  /** Nothing was sent, as the target refused the connection. */
  | 'refused'
  /** Nothing was sent. */
  | 'not-sent'
  /** The request may have run. */
  | 'broken';

/** Part of a response that another instance forwards. */
export type ForwardedPart =
  | {
      readonly kind: 'head';
      readonly status: number;
      /** Alternating names and values. */
      readonly rawHeaders: readonly string[];
      readonly framing: ResponseFraming;
    }
  | { readonly kind: 'data'; readonly bytes: Buffer }
  | { readonly kind: 'end' }
  | { readonly kind: 'failure'; readonly failure: ForwardingFailure; readonly detail: string }
  /** Sent while there is nothing else to send, as a hop that was cut gives no error. */
  | { readonly kind: 'progress' };

/** How one dispatch of a call to one target ended. */
export type AttemptOutcome =
  /** The caller has the complete response. */
  | { readonly kind: 'delivered'; readonly status: number }
  /** The target states that it has not run the request. */
  | { readonly kind: 'declined'; readonly reason: 'full' | 'misdirected' }
  /**
   * The status tells callers that the request has not run, which the target doesn't state; the
   * request may have run.
   */
  | { readonly kind: 'unproven-refusal'; readonly status: number; readonly detail: string }
  /** Nothing of the request reached the target. */
  | {
      readonly kind: 'not-sent';
      readonly detail: string;
      /** Whether nothing listens at the address. */
      readonly isRefused: boolean;
      /** Whether a connection could not be opened; otherwise the request never got one. */
      readonly hasConnectionFailed: boolean;
    }
  /**
   * This instance has no path to the target, which says nothing about the target; `wasSent` if the
   * request may have reached it.
   */
  | { readonly kind: 'no-path'; readonly detail: string; readonly wasSent: boolean }
  /** The request may have run; its response is lost, or the received one is not valid for it. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** As `broken`: the response cost more than one may. Another one of the target would as well. */
  | { readonly kind: 'excessive'; readonly detail: string }
  /** The target became unresponsive. */
  | { readonly kind: 'stalled'; readonly detail: string }
  /** The response is complete, but its turn could not be stored in time. */
  | { readonly kind: 'not-retained' }
  /** The caller closed its connection. */
  | { readonly kind: 'caller-gone' }
  /** The instance ends its last calls during a shutdown. */
  | { readonly kind: 'shutting-down' }
  /** The deadline of the response has passed. */
  | { readonly kind: 'timed-out'; readonly wasSent: boolean };

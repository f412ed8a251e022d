/** One request of a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Time after which the caller closes its connection without waiting for the response. */
  readonly leaveAfterMilliseconds: number | undefined;
  /** Time after which the caller no longer expects a response. */
  readonly giveUpAfterMilliseconds: number;
}

/** How a request ended for its caller. */
export type CallerOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Signature of the target; undefined if the instance responded without a target. */
      readonly signature: string | undefined;
      readonly body: string;
    }
  /**
   * The connection ended before the response did; `status` is undefined if no response head
   * arrived.
   */
  | {
      readonly kind: 'broken';
      readonly status: number | undefined;
      readonly body: string;
      readonly detail: string;
    }
  | { readonly kind: 'left'; readonly body: string }
  | { readonly kind: 'given-up'; readonly body: string };

/** A request with its outcome and times; the times are readings of `performance.now()`. */
export interface CallerRecord {
  readonly request: CallerRequest;
  readonly connectedAt: number;
  readonly beganAt: number;
  /** When the last byte was passed to the operating system; undefined if it never was. */
  readonly sentAt: number | undefined;
  readonly endedAt: number;
  readonly outcome: CallerOutcome;
}

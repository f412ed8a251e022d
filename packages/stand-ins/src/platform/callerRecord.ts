/** One request of a caller. */
export interface CallerRequest {
  readonly id: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  /** Time after which the caller closes its connection though an answer may come. */
  readonly leaveAfterMilliseconds: number | undefined;
  /** Time after which no answer is expected any more. */
  readonly giveUpAfterMilliseconds: number;
}

/** What a caller got. */
export type CallerOutcome =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Signature of the target; missing where the instance answered by itself. */
      readonly signature: string | undefined;
      readonly body: string;
    }
  /** The connection ended before the answer did; the status is missing where no head came. */
  | {
      readonly kind: 'broken';
      readonly status: number | undefined;
      readonly body: string;
      readonly detail: string;
    }
  | { readonly kind: 'left'; readonly body: string }
  | { readonly kind: 'given-up'; readonly body: string };

/** A request with its times, on the clock of `performance.now()`. */
export interface CallerRecord {
  readonly request: CallerRequest;
  readonly connectedAt: number;
  readonly beganAt: number;
  /** When the last byte was handed to the system; missing where it was not. */
  readonly sentAt: number | undefined;
  readonly endedAt: number;
  readonly outcome: CallerOutcome;
}

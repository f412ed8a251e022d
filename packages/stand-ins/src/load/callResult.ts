/** Whether a call was executed, as limpetnotch reports it. */
export type Executed = 'no' | 'yes' | 'unknown';

/** Result of one HTTP call, as its caller sees it. */
export type CallResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Text of a streamed completion, otherwise the body of the response. */
      readonly text: string;
      readonly sequence: number | undefined;
      readonly isReplay: boolean;
      readonly milliseconds: number;
      readonly firstTokenMilliseconds: number | undefined;
    }
  /** A problem document, as the response body or as the last event of a stream. */
  | {
      readonly kind: 'problem';
      readonly status: number;
      readonly problem: string;
      readonly executed: Executed;
      readonly detail: string;
      readonly retryAfterMilliseconds: number | undefined;
    }
  /** The connection failed, broke or timed out before the response was complete. */
  | { readonly kind: 'broken'; readonly detail: string };

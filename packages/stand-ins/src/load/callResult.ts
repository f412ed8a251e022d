/** Whether a call ran, as limpetnotch says. */
export type Executed = 'no' | 'yes' | 'unknown';

/** How one call over HTTP ended, as its caller sees it. */
export type CallResult =
  | {
      readonly kind: 'answered';
      readonly status: number;
      /** Text of the completion, or the body of a plain answer. */
      readonly text: string;
      readonly sequence: number | undefined;
      readonly isReplay: boolean;
      readonly milliseconds: number;
      readonly firstTokenMilliseconds: number | undefined;
    }
  /** A problem document, whole or as the last event of a stream. */
  | {
      readonly kind: 'problem';
      readonly status: number;
      readonly problem: string;
      readonly executed: Executed;
      readonly detail: string;
      readonly retryAfterMilliseconds: number | undefined;
    }
  /** No connection, or one that broke or stayed silent before the answer was whole. */
  | { readonly kind: 'broken'; readonly detail: string };

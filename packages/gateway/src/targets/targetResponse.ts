import type { ResponseFraming } from './responseFraming';

/** Head of a response and its body, which can be read once. */
export interface TargetResponse {
  readonly status: number;
  /** Alternating names and values. */
  readonly rawHeaders: readonly string[];
  readonly framing: ResponseFraming;
  /** Throws an {@link AnswerBrokenError} if the response ends early. */
  readonly body: AsyncIterable<Buffer>;
}

import { toBrokenError } from './attemptEndedError';
import type { StreamEvent } from './eventStreamReader';

/**
 * Checks that a response continues a stream that an earlier target began, and is not an error with
 * the status of a success. A stream can only be resumed if its events have identifiers.
 */
export class ContinuationCheck {
  #isContinued: boolean;

  constructor(isResumed: boolean) {
    this.#isContinued = !isResumed;
  }

  /** Throws if text that is no event precedes the first event. */
  checkEvent({ id, isComment }: StreamEvent): void {
    this.#isContinued ||= id !== undefined;
    if (!this.#isContinued && !isComment) {
      throw toBrokenError('resumed stream without an identifier');
    }
  }

  /** Throws if the response ends without an event, as nothing shows that the stream was over. */
  checkEnd(): void {
    if (!this.#isContinued) throw toBrokenError('resumed stream ended without an event');
  }
}

import type { AnswerEnd, AnswerHead } from '@limpetnotch/peer-protocol';
import type { Problem } from '../problems/problem';

/** Destination of an answer at the entry: the caller's connection. */
export interface AnswerSink {
  /** Whether the head has been written. */
  readonly started: boolean;
  start(head: AnswerHead): void;
  /** Writes a part of the body; resolves when the connection can accept more. */
  write(bytes: Uint8Array): Promise<void>;
  end(end: AnswerEnd): void;
  /** Writes a problem document, or an error event if a stream has started. */
  fail(problem: Problem): void;
}

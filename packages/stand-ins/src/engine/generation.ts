import type { PrefixBlock } from '@limpetnotch/scheduling';
import type { PlannedAnswer } from './answerText';

/** Token counts of an answer and why it ended. */
export interface GenerationEnd {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
  /** `length` if `max_tokens` cut the answer off. */
  readonly finishReason: 'stop' | 'length';
}

/** Receives the output of a generation. */
export interface GenerationSink {
  token(text: string, index: number): void;
  finished(end: GenerationEnd): void;
}

/** One request in the queue or the batch. */
export interface Generation {
  readonly priority: number;
  /** Arrival number; the lower one runs first among equal priorities. */
  readonly arrival: number;
  readonly session: string | undefined;
  readonly prefix: readonly PrefixBlock[];
  /**
   * Returns the blocks of the prompt and its complete answer, which are the prefix of the next
   * turn.
   */
  historyPrefix(): readonly PrefixBlock[];
  readonly answer: PlannedAnswer;
  readonly sink: GenerationSink;
  /** Prompt tokens that were cached when the generation was admitted. */
  cachedTokens: number;
  /** Prompt tokens still to prefill. */
  prefillTokens: number;
  /** Index of the next token. */
  nextToken: number;
  /** Generated fraction of the next token. */
  progress: number;
}

export const countPromptTokens = (prefix: readonly PrefixBlock[]): number =>
  prefix.reduce((sum, block) => sum + block.tokens, 0);

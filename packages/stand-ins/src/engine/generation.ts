import type { PrefixBlock } from '@limpetnotch/scheduling';
import type { PlannedAnswer } from './answerText';

/** How an answer ended, and its tokens. */
export interface GenerationEnd {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly cachedTokens: number;
  /** `length` where the request's cap cut the answer. */
  readonly finishReason: 'stop' | 'length';
}

/** Receives what a generation produces. */
export interface GenerationSink {
  token(text: string, index: number): void;
  finished(end: GenerationEnd): void;
}

/** One request that waits or runs in the batch. */
export interface Generation {
  readonly priority: number;
  /** Order of arrival. */
  readonly arrival: number;
  readonly session: string | undefined;
  readonly prefix: readonly PrefixBlock[];
  /** Returns the prompt and its whole answer as blocks, as the next turn will send them. */
  historyPrefix(): readonly PrefixBlock[];
  readonly answer: PlannedAnswer;
  readonly sink: GenerationSink;
  /** Tokens of the prompt that were cached when it was admitted. */
  cachedTokens: number;
  /** Tokens of the prompt that are still to be computed. */
  prefillTokens: number;
  /** Index of the next token. */
  nextToken: number;
  /** Part of the next token that is done. */
  progress: number;
}

/** Returns the tokens of a prompt. */
export const promptTokensOf = (prefix: readonly PrefixBlock[]): number =>
  prefix.reduce((sum, block) => sum + block.tokens, 0);

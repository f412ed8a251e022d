import { createHash } from 'node:crypto';
import type { ChatRequest } from './chatRequest';

const SHORTEST_ANSWER_TOKENS = 16;
const ANSWER_SPREAD_TOKENS = 48;
const TOKEN_CHARACTERS = 3;
const OUTPUT_MARKER = /\[output=(\d+)\]/;
const CRASH_MARKER = /\[crash(?:=(\d+))?\]/;

/** The planned answer to a prompt. It depends only on the prompt, the model and the seed. */
export interface PlannedAnswer {
  /** Number of tokens of the complete answer, limited by the request's `max_tokens`. */
  readonly tokens: number;
  readonly finishReason: 'stop' | 'length';
  /**
   * Number of tokens after which the engine crashes; undefined if the prompt has no crash marker.
   */
  readonly crashAtToken: number | undefined;
  /** Returns the text of one token. */
  tokenText(index: number): string;
}

const hashText = (text: string): string => createHash('sha256').update(text).digest('hex');

const getLastContent = ({ messages }: ChatRequest): string => messages.at(-1)?.content ?? '';

/**
 * Plans the answer to a prompt. The last message may contain `[output=N]`, which sets the length in
 * tokens, and `[crash]` or `[crash=N]`, which crashes the engine before the answer or after N
 * tokens.
 */
export const planAnswer = (request: ChatRequest, seed: number): PlannedAnswer => {
  const content = getLastContent(request);
  const answerDigest = hashText(JSON.stringify([seed, request.model, request.messages]));
  const markedTokens = OUTPUT_MARKER.exec(content)?.[1];
  const defaultTokens =
    SHORTEST_ANSWER_TOKENS + (parseInt(answerDigest.slice(0, 8), 16) % ANSWER_SPREAD_TOKENS);
  const requestedTokens = markedTokens === undefined ? defaultTokens : Number(markedTokens);
  const tokens = Math.min(requestedTokens, request.max_tokens ?? requestedTokens);
  const crash = CRASH_MARKER.exec(content);
  return {
    tokens,
    finishReason: tokens < requestedTokens ? 'length' : 'stop',
    crashAtToken: crash ? Number(crash[1] ?? 0) : undefined,
    tokenText: (index) => ` ${hashText(`${answerDigest}:${index}`).slice(0, TOKEN_CHARACTERS)}`,
  };
};

/** Returns the complete text of a planned answer. */
export const joinAnswerText = (answer: PlannedAnswer): string =>
  Array.from({ length: answer.tokens }, (_, index) => answer.tokenText(index)).join('');

import { createHash } from 'node:crypto';
import type { ChatRequest } from './chatRequest';

const SHORTEST_ANSWER_TOKENS = 16;
const ANSWER_SPREAD_TOKENS = 48;
const TOKEN_CHARACTERS = 3;
const OUTPUT_MARKER = /\[output=(\d+)\]/;
const CRASH_MARKER = /\[crash(?:=(\d+))?\]/;

/** The answer to a prompt, which depends on nothing but the prompt and the seed. */
export interface PlannedAnswer {
  /** Tokens of the whole answer, after the cap of the request. */
  readonly tokens: number;
  readonly finishReason: 'stop' | 'length';
  /** Token of the answer after which the engine crashes, if the prompt is marked so. */
  readonly crashAtToken: number | undefined;
  /** Text of one token. */
  tokenText(index: number): string;
}

const digestOf = (text: string): string => createHash('sha256').update(text).digest('hex');

const lastContent = ({ messages }: ChatRequest): string => messages.at(-1)?.content ?? '';

/**
 * Plans the answer to a prompt. The last message may carry `[output=N]`, the length in tokens, and
 * `[crash]` or `[crash=N]`, which crashes the engine before the answer or after N tokens of it.
 */
export const planAnswer = (request: ChatRequest, seed: number): PlannedAnswer => {
  const content = lastContent(request);
  const answerDigest = digestOf(JSON.stringify([seed, request.model, request.messages]));
  const marked = OUTPUT_MARKER.exec(content)?.[1];
  const chosen =
    SHORTEST_ANSWER_TOKENS + (parseInt(answerDigest.slice(0, 8), 16) % ANSWER_SPREAD_TOKENS);
  const wanted = marked === undefined ? chosen : Number(marked);
  const tokens = Math.min(wanted, request.max_tokens ?? wanted);
  const crash = CRASH_MARKER.exec(content);
  return {
    tokens,
    finishReason: tokens < wanted ? 'length' : 'stop',
    crashAtToken: crash ? Number(crash[1] ?? 0) : undefined,
    tokenText: (index) => ` ${digestOf(`${answerDigest}:${index}`).slice(0, TOKEN_CHARACTERS)}`,
  };
};

/** Returns the whole text of a planned answer. */
export const answerTextOf = (answer: PlannedAnswer): string =>
  Array.from({ length: answer.tokens }, (_, index) => answer.tokenText(index)).join('');

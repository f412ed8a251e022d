import { createHash } from 'node:crypto';
import type { PrefixBlock } from './scheduledCall';

const CHARACTERS_PER_TOKEN = 4;
const TOKENS_PER_MESSAGE = 4;
const DIGEST_CHARACTERS = 16;

/** The parts of a chat message that determine its tokens and its prefix digest. */
export interface PromptMessage {
  readonly role: string;
  readonly content: string;
}

/** Estimates the tokens of a message from its length. */
export const estimateTokens = (message: PromptMessage): number =>
  TOKENS_PER_MESSAGE + Math.ceil(message.content.length / CHARACTERS_PER_TOKEN);

/** Returns a prompt as blocks with chained digests, so that equal prefixes have equal digests. */
export const prefixBlocks = (messages: readonly PromptMessage[]): readonly PrefixBlock[] => {
  let chain = '';
  return messages.map((message) => {
    chain = createHash('sha256')
      .update(`${chain}\n${message.role}\n${message.content}`)
      .digest('hex')
      .slice(0, DIGEST_CHARACTERS);
    return { digest: chain, tokens: estimateTokens(message) };
  });
};

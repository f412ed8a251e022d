import type { PromptMessage } from '@limpetnotch/scheduling';
import { err, ok } from 'neverthrow';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { parseJson } from '../util/parseJson';

const contentSchema = z.union([z.string(), z.array(z.unknown()), z.null()]);

/** The members of a chat completion request that limpetnotch reads; others pass through. */
export const chatRequestSchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(z.looseObject({ role: z.string(), content: contentSchema.optional() })).min(1),
  max_tokens: z.number().int().positive().optional(),
  max_completion_tokens: z.number().int().positive().optional(),
  stream: z.boolean().optional(),
});

export type ChatRequest = z.infer<typeof chatRequestSchema>;

/** Parses a chat completion request; the error is a text that names the invalid member. */
export const parseChatRequest = (body: Uint8Array): Result<ChatRequest, string> => {
  const parsed = chatRequestSchema.safeParse(parseJson(Buffer.from(body).toString('utf8')));
  if (parsed.success) return ok(parsed.data);
  const [issue] = parsed.error.issues;
  const place = issue && issue.path.length > 0 ? issue.path.join('.') : 'body';
  return err(`${place}: ${issue?.message ?? 'not a chat completion request'}`);
};

/** Converts the messages to the form in which prompt prefixes are computed. */
export const toPromptMessages = ({ messages }: ChatRequest): readonly PromptMessage[] =>
  messages.map(({ role, content }) => ({
    role,
    content: typeof content === 'string' ? content : JSON.stringify(content ?? ''),
  }));

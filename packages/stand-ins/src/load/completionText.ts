import { z } from 'zod';

const completionSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })).min(1),
});

/**
 * Returns the text of a completion: the message content if `text` is a JSON body, otherwise `text`
 * itself, which was streamed.
 */
export const completionText = (text: string): string => {
  if (!text.startsWith('{')) return text;
  const { choices } = completionSchema.parse(JSON.parse(text));
  return choices[0]?.message.content ?? '';
};

import { z } from 'zod';

const wholeSchema = z.object({
  choices: z.array(z.object({ message: z.object({ content: z.string() }) })).min(1),
});

/** Returns the text of a completion: the body's, where it came whole, or the text itself. */
export const completionText = (text: string): string => {
  if (!text.startsWith('{')) return text;
  const { choices } = wholeSchema.parse(JSON.parse(text));
  return choices[0]?.message.content ?? '';
};

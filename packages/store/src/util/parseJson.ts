import type { z } from 'zod';

/** Parses JSON text with a schema; returns `undefined` if the text is not JSON or does not match. */
export const parseJson = <Value>(schema: z.ZodType<Value>, text: string): Value | undefined => {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

import type { z } from 'zod';

/** Parses a JSON text by a schema; returns `undefined` where either does not fit. */
export const parseWith = <Value>(schema: z.ZodType<Value>, text: string): Value | undefined => {
  try {
    const parsed = schema.safeParse(JSON.parse(text));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

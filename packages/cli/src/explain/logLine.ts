import { z } from 'zod';

const logLineSchema = z
  .object({ time: z.iso.datetime(), message: z.string(), instance: z.string() })
  .catchall(z.union([z.string(), z.number(), z.boolean(), z.null()]));

/** One line of an instance's log. */
export type LogLine = z.infer<typeof logLineSchema>;

/** Parses a line, skipping text that a collector put before it; undefined if it is no log line. */
export const parseLogLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{"time"');
  if (start === -1) return undefined;
  try {
    return logLineSchema.parse(JSON.parse(text.slice(start)));
  } catch {
    // Collectors may truncate lines; the caller skips those that can't be parsed.
    return undefined;
  }
};

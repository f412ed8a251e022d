import { z } from 'zod';

const logLineSchema = z
  .object({ time: z.iso.datetime(), message: z.string(), instance: z.string() })
  .catchall(z.union([z.string(), z.number(), z.boolean(), z.null()]));

/** One line of an instance's log. */
export type LogLine = z.infer<typeof logLineSchema>;

/** Reads a line, also where a collector put text before it; undefined where it is no log line. */
export const parseLogLine = (text: string): LogLine | undefined => {
  const start = text.indexOf('{"time"');
  if (start === -1) return undefined;
  try {
    return logLineSchema.parse(JSON.parse(text.slice(start)));
  } catch {
    // Collectors cut lines; the caller counts what it couldn't read.
    return undefined;
  }
};

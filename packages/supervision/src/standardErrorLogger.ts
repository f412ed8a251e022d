import type { LogFields, Logger, LogMessageId } from '@limpetnotch/observability';

const writeAs =
  (level: string) =>
  (message: LogMessageId, fields?: LogFields): void => {
    const time = new Date().toISOString();
    process.stderr.write(`${JSON.stringify({ time, level, message, ...fields })}\n`);
  };

/** Writes one JSON object a line to standard error; for programs without settings of a log. */
export const standardErrorLogger: Logger = {
  debug: writeAs('debug'),
  info: writeAs('info'),
  warn: writeAs('warn'),
  error: writeAs('error'),
};

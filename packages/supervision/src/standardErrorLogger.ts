import type { LogFields, Logger, LogMessageId } from '@limpetnotch/observability';

const createWriter =
  (level: string) =>
  (message: LogMessageId, fields?: LogFields): void => {
    const time = new Date().toISOString();
    process.stderr.write(`${JSON.stringify({ time, level, message, ...fields })}\n`);
  };

/** Writes one JSON object per line to standard error; for programs without log settings. */
export const standardErrorLogger: Logger = {
  debug: createWriter('debug'),
  info: createWriter('info'),
  warn: createWriter('warn'),
  error: createWriter('error'),
};

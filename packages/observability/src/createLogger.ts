import { Logger as TslogLogger } from 'tslog';
import type { Logger, LogFields, LogMessageId } from './logger';

const MINIMUM_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Name of the instance, written on each line. */
  readonly instance: string;
  /** Lowest level that is written; `info` by default. */
  readonly level?: keyof typeof MINIMUM_LEVELS;
}

/** Creates a logger that writes one JSON object a line to standard output. */
export const createLogger = ({ instance, level = 'info' }: LoggerOptions): Logger => {
  const sink = new TslogLogger({
    type: 'json',
    minLevel: MINIMUM_LEVELS[level],
    hideLogPositionForProduction: true,
  });
  const line = (message: LogMessageId, fields: LogFields = {}): object => ({
    message,
    instance,
    ...fields,
  });
  return {
    debug: (message, fields) => {
      sink.debug(line(message, fields));
    },
    info: (message, fields) => {
      sink.info(line(message, fields));
    },
    warn: (message, fields) => {
      sink.warn(line(message, fields));
    },
    error: (message, fields) => {
      sink.error(line(message, fields));
    },
  };
};

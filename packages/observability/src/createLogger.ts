import { Logger as TslogLogger } from 'tslog';
import type { Logger, LogFields, LogMessageId } from './logger';

const MINIMUM_LEVELS = { debug: 2, info: 3, warn: 4, error: 5 } as const;

/** Name of a log level. */
export type LogLevel = keyof typeof MINIMUM_LEVELS;

/** Options of {@link createLogger}. */
export interface LoggerOptions {
  /** Name of the instance, written on each line. */
  readonly instance: string;
  /** Lowest level that is written; `info` by default. */
  readonly level?: LogLevel;
  /** Writes each line; standard output by default. */
  readonly write?: (line: string) => void;
}

/** Object that tslog passes to a transport: the fields of a line, its time and its level. */
interface LoggedLine {
  readonly _meta: { readonly date: Date; readonly logLevelName: string };
}

const writeToStandardOutput = (line: string): void => {
  process.stdout.write(line);
};

const formatLine = ({ _meta: meta, ...fields }: LoggedLine): string => {
  const time = meta.date.toISOString();
  const level = meta.logLevelName.toLowerCase();
  return `${JSON.stringify({ time, level, ...fields })}\n`;
};

/** Creates a logger that writes one JSON object per line. */
export const createLogger = (options: LoggerOptions): Logger => {
  const { instance, level = 'info', write = writeToStandardOutput } = options;
  const sink = new TslogLogger<LogFields>({
    type: 'hidden',
    minLevel: MINIMUM_LEVELS[level],
    hideLogPositionForProduction: true,
    // Fields are flat and hold no secrets; masking would copy each of them.
    maskValuesOfKeys: [],
  });
  sink.attachTransport((line) => write(formatLine(line as unknown as LoggedLine)));
  const addInstance = (message: LogMessageId, fields: LogFields = {}): LogFields => ({
    message,
    instance,
    ...fields,
  });
  return {
    debug: (message, fields) => {
      sink.debug(addInstance(message, fields));
    },
    info: (message, fields) => {
      sink.info(addInstance(message, fields));
    },
    warn: (message, fields) => {
      sink.warn(addInstance(message, fields));
    },
    error: (message, fields) => {
      sink.error(addInstance(message, fields));
    },
  };
};

/** Structured values of one log line; must not contain credentials or request bodies. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Identifier of a log line: the area and the state change, such as `partition.claimed`. */
export type LogMessageId = `${string}.${string}`;

/** Logs one line per state change; repeated events are counted in metrics instead. */
export interface Logger {
  debug(message: LogMessageId, fields?: LogFields): void;
  info(message: LogMessageId, fields?: LogFields): void;
  warn(message: LogMessageId, fields?: LogFields): void;
  error(message: LogMessageId, fields?: LogFields): void;
}

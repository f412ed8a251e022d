/** Structured values of one log line; never a credential or a request body. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Identifier of a log line: the area and the change of state, such as `partition.claimed`. */
export type LogMessageId = `${string}.${string}`;

/** Writes one line for each change of state; repeated events are counted instead. */
export interface Logger {
  debug(message: LogMessageId, fields?: LogFields): void;
  info(message: LogMessageId, fields?: LogFields): void;
  warn(message: LogMessageId, fields?: LogFields): void;
  error(message: LogMessageId, fields?: LogFields): void;
}

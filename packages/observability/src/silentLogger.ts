import type { Logger } from './logger';

const discard = (): void => undefined;

/** A logger that discards every line. */
export const silentLogger: Logger = {
  debug: discard,
  info: discard,
  warn: discard,
  error: discard,
};

import { isOfConnecting } from '@limpetnotch/store';

/** Why an attempt at a target gave no whole answer. */
export type AttemptError =
  /** No connection was made: the request certainly never left. */
  | { readonly kind: 'not-sent'; readonly detail: string }
  /** The connection broke after the request may have been sent. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** No byte came within the progress deadline. */
  | { readonly kind: 'silent'; readonly detail: string }
  | { readonly kind: 'cancelled'; readonly detail: string };

const CONNECT_FAILURES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

const UNREACHABLE_CODES = new Set(['EHOSTUNREACH', 'ENETUNREACH']);

const SILENCES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

const codeOf = (error: unknown): string => {
  if (typeof error !== 'object' || error === null) return '';
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
};

const isNotSent = (error: unknown, code: string): boolean =>
  CONNECT_FAILURES.has(code) || (UNREACHABLE_CODES.has(code) && isOfConnecting(error));

/** Turns an error of undici into an attempt error. */
export const attemptErrorOf = (error: unknown, cancelled: boolean): AttemptError => {
  const code = codeOf(error);
  const detail = code || (error instanceof Error ? error.message : 'unknown failure');
  if (cancelled) return { kind: 'cancelled', detail };
  if (isNotSent(error, code)) return { kind: 'not-sent', detail };
  if (SILENCES.has(code)) return { kind: 'silent', detail };
  return { kind: 'broken', detail };
};

import { isConnectError } from '@limpetnotch/store';

/** Why an attempt at a target produced no complete response. */
export type AttemptError =
  /** No connection was established, so the request was certainly not sent. */
  | { readonly kind: 'not-sent'; readonly detail: string }
  /** The connection failed when the request may already have been sent. */
  | { readonly kind: 'broken'; readonly detail: string }
  /** No byte arrived within the progress deadline. */
  | { readonly kind: 'silent'; readonly detail: string }
  | { readonly kind: 'cancelled'; readonly detail: string };

const CONNECT_FAILURE_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

const UNREACHABLE_CODES = new Set(['EHOSTUNREACH', 'ENETUNREACH']);

const TIMEOUT_CODES = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

const getErrorCode = (error: unknown): string => {
  if (typeof error !== 'object' || error === null) return '';
  return 'code' in error && typeof error.code === 'string' ? error.code : '';
};

const isNotSent = (error: unknown, code: string): boolean =>
  CONNECT_FAILURE_CODES.has(code) || (UNREACHABLE_CODES.has(code) && isConnectError(error));

/** Converts an error of undici to an attempt error. */
export const toAttemptError = (error: unknown, cancelled: boolean): AttemptError => {
  const code = getErrorCode(error);
  const detail = code || (error instanceof Error ? error.message : 'unknown failure');
  if (cancelled) return { kind: 'cancelled', detail };
  if (isNotSent(error, code)) return { kind: 'not-sent', detail };
  if (TIMEOUT_CODES.has(code)) return { kind: 'silent', detail };
  return { kind: 'broken', detail };
};

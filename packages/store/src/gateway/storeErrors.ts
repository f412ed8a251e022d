import { z } from 'zod';
import type { StoreError } from '../storeError';
import { errorResponseSchema } from './responseSchemas';
import type { StoreCallKind } from './storeCallKind';
import { isWrite } from './storeCallKind';
import { isConnectError } from '../util/isConnectError';

/** Codes of failures that occur before the first byte of a request is sent. */
const CODES_BEFORE_SEND = new Set([
  'ECONNREFUSED',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Codes of failures that occur before the first byte only while the connection is being opened. */
const UNREACHABLE_CODES = new Set(['EHOSTUNREACH', 'ENETUNREACH']);

const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_BAD_REQUEST = 400;
const STATUS_INTERNAL_ERROR = 500;
const STATUS_REQUEST_TIMEOUT = 408;

/** Matches messages of status 503 after which a proposed write may still take effect. */
const UNCERTAIN_MESSAGE_PATTERN = /timed out|leader changed|server stopped/;

/**
 * Shape of the errors of sockets and of undici. Checked by a schema, since `instanceof` fails for
 * errors of another realm.
 */
const failureSchema = z.object({
  message: z.string().default(''),
  code: z.string().optional(),
  cause: z.unknown().optional(),
  errors: z.array(z.unknown()).default([]),
});

const findErrorCode = (failure: unknown): string | undefined => {
  const parsed = failureSchema.safeParse(failure);
  if (!parsed.success) return undefined;
  const { code, cause, errors } = parsed.data;
  return code ?? findErrorCode(cause ?? errors[0]);
};

const toErrorMessage = (failure: unknown): string => {
  const parsed = failureSchema.safeParse(failure);
  return parsed.success ? parsed.data.message : String(failure);
};

const isBeforeSend = (code: string | undefined, failure: unknown): boolean => {
  if (code === undefined) return false;
  if (CODES_BEFORE_SEND.has(code)) return true;
  return UNREACHABLE_CODES.has(code) && isConnectError(failure);
};

/** Returns the error of a call whose response is missing or unreliable. */
export const toUncertainError = (kind: StoreCallKind, detail: string): StoreError =>
  isWrite(kind) ? { kind: 'unknown-outcome', detail } : { kind: 'unavailable', detail };

/** Converts a failure of the connection into a store error. */
export const toConnectionError = (kind: StoreCallKind, failure: unknown): StoreError => {
  const code = findErrorCode(failure);
  const detail = `${kind}: ${toErrorMessage(failure)}`;
  if (isBeforeSend(code, failure)) return { kind: 'unavailable', detail };
  return toUncertainError(kind, detail);
};

/** Returns the error of a response with status 2xx that does not follow the protocol. */
export const toMalformedResponseError = (kind: StoreCallKind, reason: string): StoreError => {
  const detail = `${kind}: malformed response: ${reason}`;
  return isWrite(kind) ? { kind: 'unknown-outcome', detail } : { kind: 'malformed-answer', detail };
};

const parseErrorMessage = (body: string): string => {
  try {
    const response = errorResponseSchema.safeParse(JSON.parse(body));
    return response.success ? (response.data.message ?? response.data.error ?? '') : '';
  } catch {
    return '';
  }
};

/** Converts a response whose status is not 2xx into a store error. */
export const toStatusError = (kind: StoreCallKind, status: number, body: string): StoreError => {
  const message = parseErrorMessage(body);
  const detail = `${kind}: status ${status}: ${message}`;
  if (status === STATUS_TOO_MANY_REQUESTS) return { kind: 'rate-limited', detail };
  if (message.includes('requested lease not found')) return { kind: 'lease-ended', detail };
  if (status === STATUS_NOT_FOUND && (kind === 'renew-lease' || kind === 'revoke-lease')) {
    return { kind: 'lease-ended', detail };
  }
  if (status === STATUS_SERVICE_UNAVAILABLE) {
    return UNCERTAIN_MESSAGE_PATTERN.test(message)
      ? toUncertainError(kind, detail)
      : { kind: 'unavailable', detail };
  }
  const isRejected =
    status >= STATUS_BAD_REQUEST &&
    status < STATUS_INTERNAL_ERROR &&
    status !== STATUS_REQUEST_TIMEOUT;
  return isRejected ? { kind: 'unavailable', detail } : toUncertainError(kind, detail);
};

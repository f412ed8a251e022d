import { z } from 'zod';
import type { StoreError } from '../storeError';
import { errorAnswerSchema } from './answerSchemas';
import type { StoreCallKind } from './storeCallKind';
import { isWrite } from './storeCallKind';
import { isOfConnecting } from '../util/isOfConnecting';

/** Codes of failures that come before the first byte of a request is sent. */
const CODES_BEFORE_SEND = new Set([
  'ECONNREFUSED',
  'ENOTFOUND',
  'EAI_AGAIN',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Codes of failures that come before the first byte only while the connection is opened. */
const UNREACHABLE_CODES = new Set(['EHOSTUNREACH', 'ENETUNREACH']);

const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY_REQUESTS = 429;
const STATUS_SERVICE_UNAVAILABLE = 503;
const STATUS_BAD_REQUEST = 400;
const STATUS_INTERNAL_ERROR = 500;
const STATUS_REQUEST_TIMEOUT = 408;

/** Messages of status 503 after which a proposed write may still take effect. */
const UNCERTAIN_MESSAGE = /timed out|leader changed|server stopped/;

/** Shape of the errors of sockets and of undici; checked by schema, as realms may differ. */
const failureSchema = z.object({
  message: z.string().default(''),
  code: z.string().optional(),
  cause: z.unknown().optional(),
  errors: z.array(z.unknown()).default([]),
});

const codeOf = (failure: unknown): string | undefined => {
  const parsed = failureSchema.safeParse(failure);
  if (!parsed.success) return undefined;
  const { code, cause, errors } = parsed.data;
  return code ?? codeOf(cause ?? errors[0]);
};

const describe = (failure: unknown): string => {
  const parsed = failureSchema.safeParse(failure);
  return parsed.success ? parsed.data.message : String(failure);
};

const isBeforeSend = (code: string | undefined, failure: unknown): boolean => {
  if (code === undefined) return false;
  if (CODES_BEFORE_SEND.has(code)) return true;
  return UNREACHABLE_CODES.has(code) && isOfConnecting(failure);
};

/** Error of a call whose answer is missing or can't be trusted. */
export const uncertainError = (kind: StoreCallKind, detail: string): StoreError =>
  isWrite(kind) ? { kind: 'unknown-outcome', detail } : { kind: 'unavailable', detail };

/** Turns a failure of the connection into the store's error. */
export const errorOfFailure = (kind: StoreCallKind, failure: unknown): StoreError => {
  const code = codeOf(failure);
  const detail = `${kind}: ${describe(failure)}`;
  if (isBeforeSend(code, failure)) return { kind: 'unavailable', detail };
  return uncertainError(kind, detail);
};

/** Error of an answer with status 2xx that did not follow the protocol. */
export const errorOfMalformedAnswer = (kind: StoreCallKind, reason: string): StoreError => {
  const detail = `${kind}: malformed answer: ${reason}`;
  return isWrite(kind) ? { kind: 'unknown-outcome', detail } : { kind: 'malformed-answer', detail };
};

const messageOf = (body: string): string => {
  try {
    const answer = errorAnswerSchema.safeParse(JSON.parse(body));
    return answer.success ? (answer.data.message ?? answer.data.error ?? '') : '';
  } catch {
    return '';
  }
};

/** Turns an answer whose status is not 2xx into the store's error. */
export const errorOfStatus = (kind: StoreCallKind, status: number, body: string): StoreError => {
  const message = messageOf(body);
  const detail = `${kind}: status ${status}: ${message}`;
  if (status === STATUS_TOO_MANY_REQUESTS) return { kind: 'rate-limited', detail };
  if (message.includes('requested lease not found')) return { kind: 'lease-ended', detail };
  if (status === STATUS_NOT_FOUND && (kind === 'renew-lease' || kind === 'revoke-lease')) {
    return { kind: 'lease-ended', detail };
  }
  if (status === STATUS_SERVICE_UNAVAILABLE) {
    return UNCERTAIN_MESSAGE.test(message)
      ? uncertainError(kind, detail)
      : { kind: 'unavailable', detail };
  }
  const refused =
    status >= STATUS_BAD_REQUEST &&
    status < STATUS_INTERNAL_ERROR &&
    status !== STATUS_REQUEST_TIMEOUT;
  return refused ? { kind: 'unavailable', detail } : uncertainError(kind, detail);
};

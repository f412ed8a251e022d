import type { Refusal } from './refusal';

/** Refusal of a request that has not run; other instances can accept it immediately. */
export const SHUTDOWN_REFUSAL = {
  kind: 'unavailable',
  reason: 'shutting down',
  retryAfterSeconds: 0,
} as const satisfies Refusal;

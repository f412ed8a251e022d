import type { Refusal } from './refusal';

/** Refusal of a request that has not run; other instances can take it at once. */
export const SHUTTING_DOWN = {
  kind: 'unavailable',
  reason: 'shutting down',
  retryAfterSeconds: 0,
} as const satisfies Refusal;

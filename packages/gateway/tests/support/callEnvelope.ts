import type { CallEnvelope } from '../../src/calls/callEnvelope';

/** Returns a request that belongs to no program, with the given fields replaced. */
export const callEnvelope = (change: Partial<CallEnvelope>): CallEnvelope => ({
  id: 'r1',
  method: 'POST',
  host: 'h',
  pathAndQuery: '/',
  patienceMilliseconds: undefined,
  key: undefined,
  program: undefined,
  prompt: undefined,
  objectKey: undefined,
  lastEventId: undefined,
  previousTurnId: undefined,
  resumedRequestId: undefined,
  passedHeaders: [],
  ...change,
});

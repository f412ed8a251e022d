import type { CallEnvelope } from '../../src/calls/callEnvelope';

/** Returns a request of no program, with what a test changes of it. */
export const callEnvelope = (change: Partial<CallEnvelope>): CallEnvelope => ({
  id: 'r1',
  method: 'POST',
  host: 'h',
  pathAndQuery: '/',
  patienceMilliseconds: undefined,
  key: undefined,
  program: undefined,
  prompt: undefined,
  lastEventId: undefined,
  passedHeaders: [],
  ...change,
});

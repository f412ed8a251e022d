import type { CallEnvelope } from '../../src/calls/callEnvelope';

/** Fields of a turn whose program has a token budget. */
export const BUDGETED_TURN: Pick<CallEnvelope, 'program' | 'prompt'> = {
  program: { id: 'p', session: undefined, finishMilliseconds: undefined, tokenBudget: 100 },
  prompt: { inputTokens: 10, maximumOutputTokens: 10, expectedOutputTokens: undefined, parts: [] },
};

/** What all instances know together of an organisation's rate and its programs. */
export interface OrganisationDemand {
  /** Programs under way. */
  readonly programs: number;
  /** Tokens of the last window that were not spent. */
  readonly unspentTokens: number;
  /** Tokens of a whole window. */
  readonly windowTokens: number;
  /** Tokens a second that can be spent for good. */
  readonly tokensPerSecond: number;
  /** Requests a second that a program sends while it is under way. */
  readonly requestsPerProgramSecond: number;
}

/** Why a program may begin, or may not. */
export type ProgramDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly reason: 'programs-need-the-rate' | 'window-is-spent' };

/** Time for which the programs' needs are weighed, as a part of the window; most end within it. */
const HORIZON = 0.5;

/**
 * Part of a window's tokens below which no program begins: programs send unevenly, and one that is
 * refused midway has wasted all before it.
 */
const RESERVED_PART = 0.1;

/** Part of the available tokens that all programs may need: some take longer than expected. */
const DEMAND_BOUND = 0.9;

/**
 * Decides whether another program of an organisation may begin. Answers a load of programs that
 * need more requests than the organisation's rate: served evenly, nearly all would end late or be
 * refused midway; so as many are under way as the rate carries, and the others are refused at
 * their first request.
 */
export const admitProgram = (demand: OrganisationDemand): ProgramDecision => {
  if (demand.unspentTokens < Math.max(1, demand.windowTokens * RESERVED_PART)) {
    return { kind: 'refused', reason: 'window-is-spent' };
  }
  const { windowTokens, unspentTokens, tokensPerSecond } = demand;
  const horizonSeconds = (HORIZON * windowTokens) / tokensPerSecond;
  const needed = (demand.programs + 1) * demand.requestsPerProgramSecond * horizonSeconds;
  const available = unspentTokens + (windowTokens - unspentTokens) * HORIZON;
  const isFirst = demand.programs === 0;
  if (!isFirst && needed > available * DEMAND_BOUND) {
    return { kind: 'refused', reason: 'programs-need-the-rate' };
  }
  return { kind: 'admitted' };
};

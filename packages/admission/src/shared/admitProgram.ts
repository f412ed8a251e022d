/** An organisation's rate and its programs, aggregated over all instances. */
export interface OrganisationDemand {
  /** Number of running programs. */
  readonly programs: number;
  /** Tokens of the last window that were not spent. */
  readonly unspentTokens: number;
  /** Tokens of a complete window. */
  readonly windowTokens: number;
  /** Tokens per second that can be spent continuously. */
  readonly tokensPerSecond: number;
  /** Requests per second that a program sends while it runs. */
  readonly requestsPerProgramSecond: number;
}

/** Whether a program may start, and the reason if not. */
export type ProgramDecision =
  | { readonly kind: 'admitted' }
  | { readonly kind: 'refused'; readonly reason: 'programs-need-the-rate' | 'window-is-spent' };

/**
 * Time for which the programs' demand is forecast, as a fraction of the window. Most end within it.
 */
const HORIZON_FRACTION = 0.5;

/**
 * Fraction of a window's tokens below which no program starts. Programs send unevenly, and one that
 * is rejected midway has wasted all its earlier requests.
 */
const RESERVED_FRACTION = 0.1;

/**
 * Fraction of the available tokens that all programs may need, as some run longer than expected.
 */
const MAXIMUM_DEMAND_FRACTION = 0.9;

/**
 * Decides whether another program of an organisation may start. If programs need more requests than
 * the organisation's rate allows and are served evenly, nearly all end late or are rejected midway.
 * So only as many run as the rate supports, and the others are rejected at their first request.
 */
export const admitProgram = (demand: OrganisationDemand): ProgramDecision => {
  if (demand.unspentTokens < Math.max(1, demand.windowTokens * RESERVED_FRACTION)) {
    return { kind: 'refused', reason: 'window-is-spent' };
  }
  const { windowTokens, unspentTokens, tokensPerSecond } = demand;
  const horizonSeconds = (HORIZON_FRACTION * windowTokens) / tokensPerSecond;
  const needed = (demand.programs + 1) * demand.requestsPerProgramSecond * horizonSeconds;
  const available = unspentTokens + (windowTokens - unspentTokens) * HORIZON_FRACTION;
  const isFirst = demand.programs === 0;
  if (!isFirst && needed > available * MAXIMUM_DEMAND_FRACTION) {
    return { kind: 'refused', reason: 'programs-need-the-rate' };
  }
  return { kind: 'admitted' };
};

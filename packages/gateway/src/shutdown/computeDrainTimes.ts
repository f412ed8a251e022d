import type { DrainTimes } from './drainTimes';

/** The load balancer stops sending after two failed readiness checks, one per second. */
const READINESS_LAG_MILLISECONDS = 2_500;

/** Upper bound of the reserve; the last responses and the process exit need much less. */
const LONGEST_ANSWER_RESERVE_MILLISECONDS = 1_000;

/** Largest share of a grace period that is reserved, so that a short one still serves requests. */
const ANSWER_RESERVE_SHARE = 1 / 8;

/** Share of the reserve in which the process itself exits; the responses are sent before that. */
const EXIT_RESERVE_SHARE = 0.7;

/** Computes the times of a drain within a grace period, in milliseconds. */
export const computeDrainTimes = (graceMilliseconds: number): DrainTimes => {
  const answerReserveMilliseconds = Math.min(
    LONGEST_ANSWER_RESERVE_MILLISECONDS,
    graceMilliseconds * ANSWER_RESERVE_SHARE,
  );
  return {
    graceMilliseconds,
    readinessLagMilliseconds: READINESS_LAG_MILLISECONDS,
    answerReserveMilliseconds,
    exitReserveMilliseconds: answerReserveMilliseconds * EXIT_RESERVE_SHARE,
  };
};

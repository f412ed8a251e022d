import type { DrainTimes } from './drainTimes';

/** The balancer stops sending after two missed questions, one a second. */
const READINESS_LAG_MILLISECONDS = 2_500;

/** Last answers reach their callers, and the process ends, well within this time. */
const LONGEST_ANSWER_RESERVE_MILLISECONDS = 1_000;

/** Largest part of a grace period that is kept back, so that a short one serves answers too. */
const ANSWER_RESERVE_SHARE = 1 / 8;

/** Part of the reserve in which the process itself ends; the answers go out before. */
const EXIT_SHARE_OF_RESERVE = 0.7;

/** Returns the times of a drain within a grace period, in milliseconds. */
export const drainTimesOf = (graceMilliseconds: number): DrainTimes => {
  const answerReserveMilliseconds = Math.min(
    LONGEST_ANSWER_RESERVE_MILLISECONDS,
    graceMilliseconds * ANSWER_RESERVE_SHARE,
  );
  return {
    graceMilliseconds,
    readinessLagMilliseconds: READINESS_LAG_MILLISECONDS,
    answerReserveMilliseconds,
    exitReserveMilliseconds: answerReserveMilliseconds * EXIT_SHARE_OF_RESERVE,
  };
};

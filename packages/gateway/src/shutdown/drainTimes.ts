/** Times of a drain, in milliseconds. */
export interface DrainTimes {
  /** From the stop signal to the end of the process. */
  readonly graceMilliseconds: number;
  /** From the stop signal until the balancer sends no new connections. */
  readonly readinessLagMilliseconds: number;
  /** Part of the grace period that is kept for the last answers; greater than the exit reserve. */
  readonly answerReserveMilliseconds: number;
  /** Part of the grace period that is kept for the end of the process itself. */
  readonly exitReserveMilliseconds: number;
}

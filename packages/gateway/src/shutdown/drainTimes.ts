/** Times of a drain, in milliseconds. */
export interface DrainTimes {
  /** From the stop signal to the end of the process. */
  readonly graceMilliseconds: number;
  /** From the stop signal until the load balancer opens no new connections. */
  readonly readinessLagMilliseconds: number;
  /** Part of the grace period reserved for the last responses; greater than the exit reserve. */
  readonly answerReserveMilliseconds: number;
  /** Part of the grace period reserved for the exit of the process itself. */
  readonly exitReserveMilliseconds: number;
}

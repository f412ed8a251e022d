/** Progress of one dispatch of a call through the limits of the targets. */
export class LimitWait {
  readonly startedAtMilliseconds = performance.now();

  /** Whether the call has left the queue and may try to take a token. */
  hasTurn = false;

  /** Number of targets chosen so far. */
  choices = 0;

  get milliseconds(): number {
    return performance.now() - this.startedAtMilliseconds;
  }
}

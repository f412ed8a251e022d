/** A target at which this instance has requests under way, and what has come back. */
export interface TargetActivity {
  readonly targetId: string;
  /** Since when at least one request is under way there. */
  readonly busyMilliseconds: number;
  /** Time since the last byte on any connection from the target. */
  readonly silentMilliseconds: number;
}

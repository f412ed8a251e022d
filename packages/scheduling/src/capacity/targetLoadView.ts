/** What an instance knows of the load of a target. */
export interface TargetLoadView {
  /** Requests of this instance that are under way at the target. */
  readonly own: number;
  /** Requests of other instances at the target, by its last report. */
  readonly others: number;
  /** Age of that report, in milliseconds; Infinity if there was none. */
  readonly reportAgeMilliseconds: number;
  /** Duration of work at the target by that report; 100 is usual. Undefined if it stated none. */
  readonly durationPercent: number | undefined;
}

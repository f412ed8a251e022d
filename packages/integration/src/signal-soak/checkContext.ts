/** What the checks need to know besides a request or a process. */
export interface CheckContext {
  readonly graceMilliseconds: number;
  /** When a target's life ended; undefined while it lasts. */
  readonly targetEndedAt: (targetId: string) => number | undefined;
  /** How late the soak itself was in a span, in milliseconds. */
  readonly lagWithin: (from: number, to: number) => number;
}

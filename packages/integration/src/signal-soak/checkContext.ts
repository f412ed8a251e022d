/** Context of the checks besides the request or process itself. */
export interface CheckContext {
  readonly graceMilliseconds: number;
  /** When a target incarnation ended; undefined while it runs. */
  readonly targetEndedAt: (targetId: string) => number | undefined;
  /** Event loop lag of the soak process within a span, in milliseconds. */
  readonly lagWithin: (from: number, to: number) => number;
}

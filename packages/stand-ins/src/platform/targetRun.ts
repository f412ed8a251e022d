/** How a run ended at its target. */
export type RunEnd =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  /** The sender of the request closed the connection. */
  | { readonly kind: 'cancelled' }
  /**
   * The target closed the connection early because of a fault, its own end or the deadline of the
   * request.
   */
  | { readonly kind: 'broken'; readonly cause: 'reset' | 'crashed' | 'deadline' };

/** One run of a request at a target, as recorded by the target. */
export interface TargetRun {
  readonly requestId: string;
  readonly targetId: string;
  /** Version of the target's software. */
  readonly version: string;
  readonly startedAt: number;
  /** First event that the run sends; 1 unless the run resumes a stream. */
  readonly firstEvent: number;
  readonly signature: string;
  /** Whether the target was unresponsive at any time during the run. */
  wasSilent: boolean;
  endedAt?: number;
  end?: RunEnd;
}

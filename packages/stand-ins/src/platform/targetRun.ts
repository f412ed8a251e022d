/** How a run ended at its target. */
export type RunEnd =
  | { readonly kind: 'answered'; readonly status: number; readonly body: string }
  /** The connection was closed by whoever sent the request. */
  | { readonly kind: 'cancelled' }
  /** The target broke the connection off: by a fault, its end or the deadline that it was given. */
  | { readonly kind: 'broken'; readonly cause: 'reset' | 'crashed' | 'deadline' };

/** One run of a request at a target, as the target saw it. */
export interface TargetRun {
  readonly requestId: string;
  readonly targetId: string;
  readonly startedAt: number;
  /** The first event that the run makes; 1 unless a stream was resumed. */
  readonly firstEvent: number;
  readonly signature: string;
  /** Whether the target was silent at some time of the run. */
  wasSilent: boolean;
  endedAt?: number;
  end?: RunEnd;
}

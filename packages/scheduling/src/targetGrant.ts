/** Outcome of an attempt at a target. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly promptTokens: number;
      readonly outputTokens: number;
      readonly cachedTokens: number;
    }
  /** The target refused the call before doing any work, for example with status 429 or 503. */
  | { readonly kind: 'refused' }
  /** No connection was established, or the request was certainly never sent. */
  | { readonly kind: 'not-sent' }
  /** The connection broke or became unresponsive, or the target crashed, during the call. */
  | {
      readonly kind: 'broken';
      /** `silent` if only the progress deadline passed, which does not indicate a crash. */
      readonly cause?: 'connection-lost' | 'silent' | undefined;
    }
  | { readonly kind: 'cancelled' };

/** A slot at a target, held until it is released. */
export interface TargetGrant {
  readonly target: string;
  readonly address: string;
  readonly availabilityZone: string;
  /** Priority for engines that support it; a lower number runs first. */
  readonly priority: number;
  /** Time that the call was queued, in milliseconds. */
  readonly queuedMilliseconds: number;
  /** Whether the target can resume an interrupted stream at a token. */
  readonly resumable: boolean;
  /** Reports additional output tokens, so that the service charged stays current. */
  progress(outputTokens: number): void;
  /** Releases the slot; must be called once. */
  release(outcome: AttemptOutcome): void;
}

/** Reason why no slot was granted; this attempt did not run the call. */
export interface SchedulingRefusal {
  readonly problem: 'queue-full' | 'no-target' | 'quarantined' | 'cancelled' | 'retry-budget-spent';
  readonly detail: string;
  readonly retryAfterMilliseconds: number | undefined;
}

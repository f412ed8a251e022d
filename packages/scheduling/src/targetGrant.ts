/** How an attempt at a target ended. */
export type AttemptOutcome =
  | {
      readonly kind: 'answered';
      readonly promptTokens: number;
      readonly outputTokens: number;
      readonly cachedTokens: number;
    }
  /** The target refused before doing any work, such as status 429 or 503. */
  | { readonly kind: 'refused' }
  /** No connection was made, or the request certainly never left. */
  | { readonly kind: 'not-sent' }
  /** The connection broke, went silent or the target crashed with the call under way. */
  | {
      readonly kind: 'broken';
      /** `silent` where only the progress deadline passed; that is no sign of a crash. */
      readonly cause?: 'connection-lost' | 'silent' | undefined;
    }
  | { readonly kind: 'cancelled' };

/** A slot at a target, held until it is released. */
export interface TargetGrant {
  readonly target: string;
  readonly address: string;
  readonly availabilityZone: string;
  /** Priority for engines that honour one; a lower number runs first. */
  readonly priority: number;
  /** Time that the call waited, in milliseconds. */
  readonly queuedMilliseconds: number;
  /** Whether the target can resume a cut stream at a token. */
  readonly resumable: boolean;
  /** Reports tokens as they come, so that service received is current. */
  progress(outputTokens: number): void;
  /** Gives the slot back; must be called once. */
  release(outcome: AttemptOutcome): void;
}

/** Why no target was granted; the call did not run for this attempt. */
export interface SchedulingRefusal {
  readonly problem: 'queue-full' | 'no-target' | 'quarantined' | 'cancelled' | 'retry-budget-spent';
  readonly detail: string;
  readonly retryAfterMilliseconds: number | undefined;
}

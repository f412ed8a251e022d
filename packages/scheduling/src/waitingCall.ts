import type { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import type { ScheduledCall } from './scheduledCall';
import type { SchedulingRefusal, TargetGrant } from './targetGrant';

/** A queued call. */
export interface WaitingCall {
  readonly call: ScheduledCall;
  /** Increases with each call of this instance. */
  readonly arrivalNumber: number;
  /** Times by the monotonic clock, in milliseconds. */
  readonly enqueuedAtMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly promptTokens: number;
  readonly result: Deferred<Result<TargetGrant, SchedulingRefusal>>;
}

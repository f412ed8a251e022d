import type { Deferred } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import type { ScheduledCall } from './scheduledCall';
import type { SchedulingRefusal, TargetGrant } from './targetGrant';

/** A call in a queue. */
export interface WaitingCall {
  readonly call: ScheduledCall;
  /** Rises with each call of this instance. */
  readonly arrival: number;
  /** Times by the monotonic clock, in milliseconds. */
  readonly enqueuedAtMilliseconds: number;
  readonly deadlineMilliseconds: number;
  readonly promptTokens: number;
  readonly answer: Deferred<Result<TargetGrant, SchedulingRefusal>>;
}

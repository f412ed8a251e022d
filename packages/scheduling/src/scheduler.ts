import type { Configuration } from '@limpetnotch/declarations';
import type { ResultAsync } from 'neverthrow';
import type { ScheduledCall } from './scheduledCall';
import type { SchedulingRefusal, TargetGrant } from './targetGrant';

/** A target's own report of its load; it comes with a lag. */
export interface LoadReport {
  readonly target: string;
  readonly runningCalls: number;
  readonly queuedCalls: number;
  readonly queuedTokens: number;
  /** Age of the report when it came, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** A change of a target's prefix cache; sequences rise by one where none is lost. */
export interface CacheEvent {
  readonly target: string;
  readonly sequence: number;
  readonly change: 'stored' | 'evicted';
  readonly digests: readonly string[];
}

/** Chooses when and where calls run. */
export interface Scheduler {
  /** Applies a configuration: targets, windows, weights. */
  applyConfiguration(configuration: Configuration): void;
  /** Waits for a slot; the signal cancels the wait. */
  acquire(call: ScheduledCall, signal: AbortSignal): ResultAsync<TargetGrant, SchedulingRefusal>;
  /** Decides whether a failed attempt may be sent again, and charges the route's retry budget. */
  mayRetry(call: ScheduledCall, failedAttempts: number): boolean;
  reportLoad(report: LoadReport): void;
  reportCache(event: CacheEvent): void;
  /** Service that other instances gave to an organisation, in tokens, since their last report. */
  addRemoteService(organisation: string, tokens: number): void;
}

import type { Configuration } from '@limpetnotch/declarations';
import type { ResultAsync } from 'neverthrow';
import type { QuarantineEntry } from './quarantineEntry';
import type { QuarantineListener } from './quarantine';
import type { ScheduledCall } from './scheduledCall';
import type { SchedulingRefusal, TargetGrant } from './targetGrant';

/** A target's report of its own load, which arrives with a lag. */
export interface LoadReport {
  readonly target: string;
  readonly runningCalls: number;
  readonly queuedCalls: number;
  readonly queuedTokens: number;
  /** Age of the report on arrival, in milliseconds. */
  readonly ageMilliseconds: number;
}

/** A change of a target's prefix cache; sequence numbers are consecutive unless events are lost. */
export interface CacheEvent {
  readonly target: string;
  readonly sequence: number;
  readonly change: 'stored' | 'evicted';
  readonly digests: readonly string[];
}

/** A target that should be probed. */
export interface ProbeTarget {
  readonly name: string;
  readonly address: string;
}

/** Chooses when and where calls run. */
export interface Scheduler {
  /** Applies the targets, windows, routes and weights of a configuration. */
  applyConfiguration(configuration: Configuration): void;
  /** Sets the instances that share the targets' windows; this one is always included. */
  setFleet(instances: readonly string[]): void;
  /** Waits for a slot at a target; the signal cancels the wait. */
  acquire(call: ScheduledCall, signal: AbortSignal): ResultAsync<TargetGrant, SchedulingRefusal>;
  /** Decides whether a failed attempt may be retried, and charges the route's retry budget. */
  mayRetry(call: ScheduledCall, failedAttempts: number): boolean;
  reportLoad(report: LoadReport): void;
  reportCache(event: CacheEvent): void;
  /** Adds tokens of service that other instances provided since their last report. */
  addRemoteService(organisation: string, tokens: number): void;
  /** Returns the service provided here to an organisation since the last call, in tokens. */
  takeLocalService(organisation: string): number;
  /** Removes the attained service of an ended root program. */
  endProgram(organisation: string, rootProgram: string): void;
  /** Returns the targets in use by this instance without a recent success. */
  targetsToProbe(): readonly ProbeTarget[];
  /** Records whether an active probe on a new connection found a target healthy. */
  recordProbe(target: string, healthy: boolean): void;
  /** Returns the requests that are quarantined. */
  listQuarantine(): readonly QuarantineEntry[];
  /** Lifts the quarantine of a request; returns whether it was quarantined or suspected. */
  liftQuarantine(requestDigest: string): boolean;
  /** Merges quarantine entries of other instances. */
  importQuarantine(entries: readonly QuarantineEntry[]): void;
  /** Adds a listener for local suspicions, quarantines and lifts, to share them with the fleet. */
  onQuarantineChange(listener: QuarantineListener): void;
  /** Refuses all waiting calls and stops the timer; running calls can still be released. */
  stop(): void;
}

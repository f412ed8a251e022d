import type { Configuration } from '@limpetnotch/declarations';
import type { ResultAsync } from 'neverthrow';
import type { QuarantineEntry } from './quarantineEntry';
import type { QuarantineListener } from './quarantine';
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

/** A target that should be probed. */
export interface ProbeTarget {
  readonly name: string;
  readonly address: string;
}

/** Chooses when and where calls run. */
export interface Scheduler {
  /** Applies a configuration: targets, windows, weights. */
  applyConfiguration(configuration: Configuration): void;
  /** Names the instances that share the targets' windows; this one counts in any case. */
  setFleet(instances: readonly string[]): void;
  /** Waits for a slot; the signal cancels the wait. */
  acquire(call: ScheduledCall, signal: AbortSignal): ResultAsync<TargetGrant, SchedulingRefusal>;
  /** Decides whether a failed attempt may be sent again, and charges the route's retry budget. */
  mayRetry(call: ScheduledCall, failedAttempts: number): boolean;
  reportLoad(report: LoadReport): void;
  reportCache(event: CacheEvent): void;
  /** Service that other instances gave to an organisation, in tokens, since their last report. */
  addRemoteService(organisation: string, tokens: number): void;
  /** Returns the service given here to an organisation since the last call, in tokens. */
  takeLocalService(organisation: string): number;
  /** Forgets the service of a root program that ended. */
  endProgram(organisation: string, rootProgram: string): void;
  /** Returns the targets that this instance uses and from which it heard no success lately. */
  targetsToProbe(): readonly ProbeTarget[];
  /** Notes whether an active probe on a new connection found a target healthy. */
  recordProbe(target: string, healthy: boolean): void;
  /** Returns the requests that are quarantined. */
  listQuarantine(): readonly QuarantineEntry[];
  /** Lifts the quarantine of a request; returns whether there was one, or a suspicion. */
  liftQuarantine(requestDigest: string): boolean;
  /** Takes in what other instances know of requests that crash targets. */
  importQuarantine(entries: readonly QuarantineEntry[]): void;
  /** Is told of each suspicion, quarantine and lift here, so that the fleet learns of it. */
  onQuarantined(listener: QuarantineListener): void;
  /** Refuses all waiting calls and stops the timer; calls under way can still be released. */
  stop(): void;
}

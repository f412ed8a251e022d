import type { Configuration } from '@limpetnotch/declarations';
import { RetryBudget } from './retryBudget';
import type { ScheduledCall } from './scheduledCall';
import type { SchedulerSettings } from './schedulerSettings';
import type { AttemptOutcome } from './targetGrant';

const MAXIMUM_TRACKED_CALLS = 20_000;
const MILLISECONDS_PER_SECOND = 1_000;

/** Retries earned per first attempt on a route that declares no ratio. */
const DEFAULT_RETRY_RATIO = 0.2;

interface CallAttempts {
  readonly deadlineMilliseconds: number;
  lastOutcome: AttemptOutcome['kind'] | undefined;
}

/** Decides which failed attempts may be retried. */
export class RetryPolicy {
  readonly #settings: SchedulerSettings;

  readonly #budgets = new Map<string, RetryBudget>();

  readonly #calls = new Map<string, CallAttempts>();

  #routes: Configuration['routes'] = new Map();

  constructor(settings: SchedulerSettings) {
    this.#settings = settings;
  }

  /** Applies changed routes; a budget is kept unless its route's ratio changed. */
  setRoutes(routes: Configuration['routes']): void {
    [...this.#budgets.keys()]
      .filter((name) => routes.get(name)?.retryRatio !== this.#routes.get(name)?.retryRatio)
      .forEach((name) => this.#budgets.delete(name));
    this.#routes = routes;
  }

  /** Returns a route's time limit for a call, covering all its attempts and waits. */
  deadlineMilliseconds(route: string): number {
    return (this.#routes.get(route)?.deadlineSeconds ?? Infinity) * MILLISECONDS_PER_SECOND;
  }

  /** Records an attempt that waits for a target; returns its deadline by the monotonic clock. */
  startAttempt({ callId, route }: ScheduledCall): number {
    const existing = this.#calls.get(callId);
    if (existing) return existing.deadlineMilliseconds;
    this.#getOrCreateBudget(route).earn();
    const deadlineMilliseconds = performance.now() + this.deadlineMilliseconds(route);
    this.#calls.set(callId, { deadlineMilliseconds, lastOutcome: undefined });
    if (this.#calls.size > MAXIMUM_TRACKED_CALLS) this.#evictOldest();
    return deadlineMilliseconds;
  }

  /** Records the outcome of an attempt; a call that ended is no longer tracked. */
  endAttempt(callId: string, outcome: AttemptOutcome['kind']): void {
    const attempts = this.#calls.get(callId);
    if (!attempts) return;
    attempts.lastOutcome = outcome;
    if (outcome === 'answered' || outcome === 'cancelled') this.#calls.delete(callId);
  }

  /** Charges the route's budget if the call is safe to retry and its deadline has not passed. */
  mayRetry(call: ScheduledCall, failedAttempts: number): boolean {
    const attempts = this.#calls.get(call.callId);
    const isAllowed =
      failedAttempts < this.#settings.maximumAttempts &&
      RetryPolicy.#isSafeToRetry(call, attempts?.lastOutcome) &&
      performance.now() < (attempts?.deadlineMilliseconds ?? Infinity) &&
      this.#getOrCreateBudget(call.route).tryConsume();
    if (!isAllowed) this.#calls.delete(call.callId);
    return isAllowed;
  }

  /** A call that is not idempotent is safe to retry only if it certainly did not run. */
  static #isSafeToRetry(call: ScheduledCall, outcome: AttemptOutcome['kind'] | undefined): boolean {
    return call.idempotent || outcome === 'refused' || outcome === 'not-sent';
  }

  #evictOldest(): void {
    const [oldest] = this.#calls.keys();
    if (oldest !== undefined) this.#calls.delete(oldest);
  }

  #getOrCreateBudget(route: string): RetryBudget {
    const existing = this.#budgets.get(route);
    if (existing) return existing;
    const ratio = this.#routes.get(route)?.retryRatio ?? DEFAULT_RETRY_RATIO;
    const budget = new RetryBudget(ratio, this.#settings.retryBurst);
    this.#budgets.set(route, budget);
    return budget;
  }
}

import type { Configuration } from '@limpetnotch/declarations';
import { RetryBudget } from './retryBudget';
import type { ScheduledCall } from './scheduledCall';
import type { SchedulerSettings } from './schedulerSettings';
import type { AttemptOutcome } from './targetGrant';

const MAXIMUM_CALLS = 20_000;
const MILLISECONDS = 1_000;

/** Routes' shares of retries where none is declared. */
const DEFAULT_RATIO = 0.2;

interface CallAttempts {
  readonly deadlineMilliseconds: number;
  lastOutcome: AttemptOutcome['kind'] | undefined;
}

/** Decides which failed attempts may be sent again. */
export class RetryPolicy {
  readonly #settings: SchedulerSettings;

  readonly #budgets = new Map<string, RetryBudget>();

  readonly #calls = new Map<string, CallAttempts>();

  #routes: Configuration['routes'] = new Map();

  constructor(settings: SchedulerSettings) {
    this.#settings = settings;
  }

  /** Applies changed routes; budgets keep what they earned unless the ratio changed. */
  setRoutes(routes: Configuration['routes']): void {
    [...this.#budgets.keys()]
      .filter((name) => routes.get(name)?.retryRatio !== this.#routes.get(name)?.retryRatio)
      .forEach((name) => this.#budgets.delete(name));
    this.#routes = routes;
  }

  /** Returns the time that a route gives to a call, its attempts and waits together. */
  deadlineMilliseconds(route: string): number {
    return (this.#routes.get(route)?.deadlineSeconds ?? Infinity) * MILLISECONDS;
  }

  /** Notes an attempt that waits for a target; returns its deadline by the monotonic clock. */
  begin({ callId, route }: ScheduledCall): number {
    const known = this.#calls.get(callId);
    if (known) return known.deadlineMilliseconds;
    this.#budget(route).earn();
    const deadlineMilliseconds = performance.now() + this.deadlineMilliseconds(route);
    this.#calls.set(callId, { deadlineMilliseconds, lastOutcome: undefined });
    if (this.#calls.size > MAXIMUM_CALLS) this.#forgetOldest();
    return deadlineMilliseconds;
  }

  /** Notes how an attempt ended; a call that is over is forgotten. */
  end(callId: string, outcome: AttemptOutcome['kind']): void {
    const known = this.#calls.get(callId);
    if (!known) return;
    known.lastOutcome = outcome;
    if (outcome === 'answered' || outcome === 'cancelled') this.#calls.delete(callId);
  }

  /** Charges the route's budget where the call is safe to send again and time is left. */
  mayRetry(call: ScheduledCall, failedAttempts: number): boolean {
    const known = this.#calls.get(call.callId);
    const isAllowed =
      failedAttempts < this.#settings.maximumAttempts &&
      RetryPolicy.#isSafe(call, known?.lastOutcome) &&
      performance.now() < (known?.deadlineMilliseconds ?? Infinity) &&
      this.#budget(call.route).take();
    if (!isAllowed) this.#calls.delete(call.callId);
    return isAllowed;
  }

  /** A call that is not idempotent is safe only where it certainly did not run. */
  static #isSafe(call: ScheduledCall, outcome: AttemptOutcome['kind'] | undefined): boolean {
    return call.idempotent || outcome === 'refused' || outcome === 'not-sent';
  }

  #forgetOldest(): void {
    const [oldest] = this.#calls.keys();
    if (oldest !== undefined) this.#calls.delete(oldest);
  }

  #budget(route: string): RetryBudget {
    const known = this.#budgets.get(route);
    if (known) return known;
    const ratio = this.#routes.get(route)?.retryRatio ?? DEFAULT_RATIO;
    const budget = new RetryBudget(ratio, this.#settings.retryBurst);
    this.#budgets.set(route, budget);
    return budget;
  }
}

import type { SchedulerSettings } from './schedulerSettings';

const MINIMUM_SAMPLES = 10;
const SAMPLE_WEIGHT = 0.1;
const MINIMUM_SUCCESS_RATE = 0.5;

/** Health state of a target. */
export type HealthState =
  | { readonly kind: 'healthy' }
  /** Receives no calls until the given time, in milliseconds of the monotonic clock. */
  | { readonly kind: 'ejected'; readonly untilMilliseconds: number }
  /** Receives one call at a time until one succeeds. */
  | { readonly kind: 'probation' }
  /** Receives calls for a growing share of its window. */
  | { readonly kind: 'slow-start'; readonly sinceMilliseconds: number };

/** Tracks the health of one target from the outcomes of calls and probes. */
export class TargetHealth {
  readonly #settings: SchedulerSettings;

  #state: HealthState = { kind: 'healthy' };

  #consecutiveFailures = 0;

  #consecutiveEjections = 0;

  #samples = 0;

  #successRate = 1;

  #lastSuccessMilliseconds = -Infinity;

  constructor(settings: SchedulerSettings) {
    this.#settings = settings;
  }

  /** Returns the current state; an expired ejection turns into probation. */
  state(): HealthState {
    const now = performance.now();
    if (this.#state.kind === 'ejected' && now >= this.#state.untilMilliseconds) {
      this.#state = { kind: 'probation' };
    }
    if (this.#state.kind === 'slow-start' && this.#slowStartShare(now) >= 1) {
      this.#state = { kind: 'healthy' };
      this.#consecutiveEjections = 0;
    }
    return this.#state;
  }

  /** Returns how many of the calls that the window allows may run at once in the current state. */
  allowance(window: number): number {
    const state = this.state();
    switch (state.kind) {
      case 'healthy':
        return window;
      case 'ejected':
        return 0;
      case 'probation':
        return Math.min(1, window);
      case 'slow-start':
        return Math.min(window, Math.max(1, Math.floor(window * this.#slowStartShare())));
    }
  }

  /** Records a success of a call or a probe. */
  recordSuccess(): void {
    this.#lastSuccessMilliseconds = performance.now();
    this.#consecutiveFailures = 0;
    this.#recordSample(1);
    if (this.state().kind !== 'probation') return;
    this.#state = { kind: 'slow-start', sinceMilliseconds: performance.now() };
    this.#samples = 0;
    this.#successRate = 1;
  }

  /** Records a failure of a call or a probe; returns whether the target should be ejected. */
  recordFailure(): boolean {
    this.#consecutiveFailures += 1;
    this.#recordSample(0);
    const { kind } = this.state();
    if (kind === 'ejected') return false;
    return kind === 'probation' || this.#isFailing();
  }

  /** Returns whether no success was recorded for a probe interval. */
  isProbeDue(): boolean {
    const since = performance.now() - this.#lastSuccessMilliseconds;
    return since >= this.#settings.probeIntervalMilliseconds;
  }

  /** Ejects the target for a duration that doubles with each consecutive ejection. */
  eject(): void {
    const { ejectionMilliseconds, maximumEjectionMilliseconds } = this.#settings;
    const uncappedMilliseconds = ejectionMilliseconds * 2 ** this.#consecutiveEjections;
    this.#consecutiveEjections += 1;
    this.#consecutiveFailures = 0;
    const durationMilliseconds = Math.min(maximumEjectionMilliseconds, uncappedMilliseconds);
    this.#state = { kind: 'ejected', untilMilliseconds: performance.now() + durationMilliseconds };
  }

  #isFailing(): boolean {
    if (this.#consecutiveFailures >= this.#settings.consecutiveFailures) return true;
    return this.#samples >= MINIMUM_SAMPLES && this.#successRate < MINIMUM_SUCCESS_RATE;
  }

  #recordSample(success: 0 | 1): void {
    this.#samples += 1;
    this.#successRate += SAMPLE_WEIGHT * (success - this.#successRate);
  }

  #slowStartShare(now: number = performance.now()): number {
    if (this.#state.kind !== 'slow-start') return 1;
    return (now - this.#state.sinceMilliseconds) / this.#settings.slowStartMilliseconds;
  }
}

import type { SchedulerSettings } from './schedulerSettings';

const MINIMUM_SAMPLES = 10;
const SAMPLE_WEIGHT = 0.1;
const EJECTING_SUCCESS_RATE = 0.5;

/** Where a target stands. */
export type HealthState =
  | { readonly kind: 'healthy' }
  /** Gets nothing until the time, in milliseconds of the monotonic clock. */
  | { readonly kind: 'ejected'; readonly untilMilliseconds: number }
  /** Gets one call at a time until one succeeds. */
  | { readonly kind: 'probation' }
  /** Gets a growing part of its window. */
  | { readonly kind: 'slow-start'; readonly sinceMilliseconds: number };

/** Health of one target, from the outcomes of calls and of probes. */
export class TargetHealth {
  readonly #settings: SchedulerSettings;

  #state: HealthState = { kind: 'healthy' };

  #failuresInRow = 0;

  #ejectionsInRow = 0;

  #samples = 0;

  #successRate = 1;

  #lastSuccessMilliseconds = -Infinity;

  constructor(settings: SchedulerSettings) {
    this.#settings = settings;
  }

  /** Returns the state now; an ejection whose time is over has become a probation. */
  state(): HealthState {
    const now = performance.now();
    if (this.#state.kind === 'ejected' && now >= this.#state.untilMilliseconds) {
      this.#state = { kind: 'probation' };
    }
    if (this.#state.kind === 'slow-start' && this.#slowStartShare(now) >= 1) {
      this.#state = { kind: 'healthy' };
      this.#ejectionsInRow = 0;
    }
    return this.#state;
  }

  /** Returns how many calls may be under way, of those that the window allows. */
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

  /** Notes a success of a call or a probe. */
  recordSuccess(): void {
    this.#lastSuccessMilliseconds = performance.now();
    this.#failuresInRow = 0;
    this.#sample(1);
    if (this.state().kind !== 'probation') return;
    this.#state = { kind: 'slow-start', sinceMilliseconds: performance.now() };
    this.#samples = 0;
    this.#successRate = 1;
  }

  /** Notes a failure of a call or a probe; returns whether the target should be ejected. */
  recordFailure(): boolean {
    this.#failuresInRow += 1;
    this.#sample(0);
    const { kind } = this.state();
    if (kind === 'ejected') return false;
    return kind === 'probation' || this.#isFailing();
  }

  /** Whether no success was noted for the time between two probes. */
  isProbeDue(): boolean {
    const since = performance.now() - this.#lastSuccessMilliseconds;
    return since >= this.#settings.probeIntervalMilliseconds;
  }

  /** Ejects the target for a time that doubles with each ejection in a row. */
  eject(): void {
    const { ejectionMilliseconds, maximumEjectionMilliseconds } = this.#settings;
    const wanted = ejectionMilliseconds * 2 ** this.#ejectionsInRow;
    this.#ejectionsInRow += 1;
    this.#failuresInRow = 0;
    const time = Math.min(maximumEjectionMilliseconds, wanted);
    this.#state = { kind: 'ejected', untilMilliseconds: performance.now() + time };
  }

  #isFailing(): boolean {
    if (this.#failuresInRow >= this.#settings.consecutiveFailures) return true;
    return this.#samples >= MINIMUM_SAMPLES && this.#successRate < EJECTING_SUCCESS_RATE;
  }

  #sample(success: 0 | 1): void {
    this.#samples += 1;
    this.#successRate += SAMPLE_WEIGHT * (success - this.#successRate);
  }

  #slowStartShare(now: number = performance.now()): number {
    if (this.#state.kind !== 'slow-start') return 1;
    return (now - this.#state.sinceMilliseconds) / this.#settings.slowStartMilliseconds;
  }
}

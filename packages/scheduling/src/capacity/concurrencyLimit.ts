/** Weight of a new answer in the slowdown; five answers replace most of the old value. */
const SAMPLE_WEIGHT = 0.25;

/** A single answer counts at most this much, so that an outlier changes little. */
const MAXIMUM_SLOWDOWN = 8;

/** Slowdown above which a target runs more requests than it handles well. */
const SLOW = 1.6;

/** Slowdown below which it may run more. */
const QUICK = 1.25;

/** Shares of the capacity in use above which an answer says anything about it. */
const SLOW_USED_SHARE = 0.5;
const QUICK_USED_SHARE = 0.7;

const DECREASE_FACTOR = 0.9;

/** Increase per step as a share of the announced slots. */
const INCREASE_SHARE = 0.05;

/** Shortest time between steps: only requests that began after a step show its effect. */
const STEP_MILLISECONDS = 100;

/** Share of its slots that a target keeps, so that its recovery is noticed. */
const LEAST_SHARE = 0.125;

/** Time in which the difference to the announced slots halves if nothing confirms it. */
const HALF_LIFE_MILLISECONDS = 5_000;

/**
 * Number of concurrent requests that a target handles well, by additive increase and multiplicative
 * decrease. It begins at the announced slots, never exceeds them and returns to them over time.
 */
export class ConcurrencyLimit {
  readonly #slots: number;

  #capacity: number;

  #slowdown = 1;

  #steppedAtMilliseconds = -Infinity;

  #observedAtMilliseconds = performance.now();

  constructor(slots: number) {
    this.#slots = slots;
    this.#capacity = slots;
  }

  /** Concurrent requests that the target handles well. */
  get capacity(): number {
    if (this.#capacity === this.#slots) return this.#slots;
    const age = performance.now() - this.#observedAtMilliseconds;
    const keptShare = 0.5 ** (age / HALF_LIFE_MILLISECONDS);
    return this.#slots + (this.#capacity - this.#slots) * keptShare;
  }

  /**
   * Records an answer.
   *
   * @param running Requests at the target when it answered.
   * @param slowdown Duration relative to the usual duration of such requests.
   */
  observeAnswer(running: number, slowdown: number): void {
    const bounded = Math.min(MAXIMUM_SLOWDOWN, slowdown);
    this.#slowdown += (bounded - this.#slowdown) * SAMPLE_WEIGHT;
    const { capacity } = this;
    const usedShare = running / capacity;
    if (this.#slowdown > SLOW && usedShare >= SLOW_USED_SHARE) {
      this.#step(capacity * DECREASE_FACTOR);
    } else if (this.#slowdown < QUICK && usedShare >= QUICK_USED_SHARE) {
      this.#step(capacity + Math.max(1, this.#slots * INCREASE_SHARE));
    }
  }

  /** Records that the target refused a request because it was full. */
  observeRefusal(running: number): void {
    this.#step(Math.min(this.capacity, Math.max(running, 1)) * DECREASE_FACTOR);
  }

  #step(capacity: number): void {
    const now = performance.now();
    if (now - this.#steppedAtMilliseconds < STEP_MILLISECONDS) return;
    const least = Math.max(1, this.#slots * LEAST_SHARE);
    // A step changes the capacity by a bounded factor, whatever was observed.
    const bounded = Math.max(capacity, this.capacity / 2);
    this.#capacity = Math.min(this.#slots, Math.max(least, bounded));
    this.#steppedAtMilliseconds = now;
    this.#observedAtMilliseconds = now;
  }
}

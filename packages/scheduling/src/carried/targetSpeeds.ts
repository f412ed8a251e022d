/** Weight of a new sample in a target's slowness; five samples replace most of the old value. */
const SAMPLE_WEIGHT = 0.25;

/** Weight of a new sample in the mean of a kind of work over all targets. */
const MEAN_WEIGHT = 0.02;

/**
 * Time after which a target's deviation from the usual speed halves if it has no new samples, so
 * that a slow target is tried again.
 */
const HALF_LIFE_MILLISECONDS = 2_000;

/** Bounds of a slowness sample. */
const MINIMUM_SLOWNESS = 0.5;
const MAXIMUM_SLOWNESS = 8;

/** Failure share of a healthy target, which may occasionally lose a response. */
const TOLERATED_FAILURE_SHARE = 0.1;

/** Weight of a new outcome in the failure share; ten outcomes replace most of the old value. */
const FAILURE_WEIGHT = 0.1;

/** Relative slowdown per unit of failure share above {@link TOLERATED_FAILURE_SHARE}. */
const FAILURE_SLOWDOWN = 6;

interface TargetSpeed {
  slowness: number;
  /** Share of failed requests, from 0 to 1. */
  failures: number;
  sampledAtMilliseconds: number;
}

/** Estimates how slow each target is relative to the others, from the durations of similar work. */
export class TargetSpeeds {
  readonly #targets = new Map<string, TargetSpeed>();

  readonly #means = new Map<string, number>();

  /** Records the duration of work at a target; durations are compared only within a kind. */
  observe(targetId: string, kind: string, milliseconds: number): void {
    const mean = this.#means.get(kind) ?? milliseconds;
    // Limits the influence of a slow target on the mean that it is compared to.
    const bounded = Math.min(milliseconds, mean * 2);
    this.#means.set(kind, mean + (bounded - mean) * MEAN_WEIGHT);
    const ratio = mean > 0 ? milliseconds / mean : 1;
    const sample = Math.min(MAXIMUM_SLOWNESS, Math.max(MINIMUM_SLOWNESS, ratio));
    const current = this.#getDecayedSpeed(targetId);
    this.#targets.set(targetId, {
      slowness: current.slowness + (sample - current.slowness) * SAMPLE_WEIGHT,
      failures: current.failures * (1 - FAILURE_WEIGHT),
      sampledAtMilliseconds: performance.now(),
    });
  }

  /** Records a request that a target aborted, failed or never responded to. */
  observeFailure(targetId: string): void {
    const current = this.#getDecayedSpeed(targetId);
    this.#targets.set(targetId, {
      slowness: current.slowness,
      failures: current.failures + (1 - current.failures) * FAILURE_WEIGHT,
      sampledAtMilliseconds: performance.now(),
    });
  }

  /**
   * Returns the service time relative to the usual time; 1 is usual, 2 is half as fast. A target
   * that fails many requests counts as slower, because those requests restart elsewhere or fail.
   */
  slowness(targetId: string): number {
    const { slowness, failures } = this.#getDecayedSpeed(targetId);
    return slowness * (1 + Math.max(0, failures - TOLERATED_FAILURE_SHARE) * FAILURE_SLOWDOWN);
  }

  #getDecayedSpeed(targetId: string): TargetSpeed {
    const now = performance.now();
    const recorded = this.#targets.get(targetId);
    if (!recorded) return { slowness: 1, failures: 0, sampledAtMilliseconds: now };
    const remainingShare = 0.5 ** ((now - recorded.sampledAtMilliseconds) / HALF_LIFE_MILLISECONDS);
    return {
      slowness: 1 + (recorded.slowness - 1) * remainingShare,
      failures: recorded.failures * remainingShare,
      sampledAtMilliseconds: now,
    };
  }

  /** Returns the usual duration of a kind of work; `undefined` before the first sample. */
  usualMilliseconds(kind: string): number | undefined {
    return this.#means.get(kind);
  }

  /** Removes targets that are no longer known. */
  retain(isKnown: (targetId: string) => boolean): void {
    [...this.#targets.keys()]
      .filter((id) => !isKnown(id))
      .forEach((id) => this.#targets.delete(id));
  }
}

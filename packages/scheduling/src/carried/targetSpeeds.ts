/** Weight of a new sample against what was known; five samples replace most of it. */
const SAMPLE_WEIGHT = 0.25;

/** Weight of a new sample in the mean of a kind of work, over all targets. */
const MEAN_WEIGHT = 0.02;

/**
 * Time after which a target without new samples counts as half as unusual as before, so that one
 * which was slow is tried again, in milliseconds.
 */
const HALF_LIFE_MILLISECONDS = 2_000;

/** Bounds of what is believed of a target. */
const LEAST_SLOWNESS = 0.5;
const MOST_SLOWNESS = 8;

/** Share of failed requests that targets have in good order, when an answer is lost now and then. */
const USUAL_FAILURE_SHARE = 0.1;

/** Weight of a new outcome in the share of failed requests; ten outcomes replace most of it. */
const FAILURE_WEIGHT = 0.1;

/** How much slower a target counts as that fails all requests. */
const FAILURE_SLOWNESS = 6;

interface TargetSpeed {
  slowness: number;
  /** Share of failed requests, from 0 to 1. */
  failures: number;
  sampledAtMilliseconds: number;
}

/** How slow each target is against the others, by the time that the same kind of work takes there. */
export class TargetSpeeds {
  readonly #targets = new Map<string, TargetSpeed>();

  readonly #means = new Map<string, number>();

  /** Notes how long a piece of work took at a target; kinds are compared only to themselves. */
  observe(targetId: string, kind: string, milliseconds: number): void {
    const mean = this.#means.get(kind) ?? milliseconds;
    // A slow target must not make its own time usual.
    const bounded = Math.min(milliseconds, mean * 2);
    this.#means.set(kind, mean + (bounded - mean) * MEAN_WEIGHT);
    const ratio = mean > 0 ? milliseconds / mean : 1;
    const sample = Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, ratio));
    const known = this.#current(targetId);
    this.#targets.set(targetId, {
      slowness: known.slowness + (sample - known.slowness) * SAMPLE_WEIGHT,
      failures: known.failures * (1 - FAILURE_WEIGHT),
      sampledAtMilliseconds: performance.now(),
    });
  }

  /** Notes a request that a target broke off, failed, or never answered. */
  observeFailure(targetId: string): void {
    const known = this.#current(targetId);
    this.#targets.set(targetId, {
      slowness: known.slowness,
      failures: known.failures + (1 - known.failures) * FAILURE_WEIGHT,
      sampledAtMilliseconds: performance.now(),
    });
  }

  /**
   * Service time against the usual; 1 is usual, 2 is half as fast. A target that fails many requests
   * counts as slower, as those requests start anew elsewhere, or fail.
   */
  slowness(targetId: string): number {
    const { slowness, failures } = this.#current(targetId);
    return slowness * (1 + Math.max(0, failures - USUAL_FAILURE_SHARE) * FAILURE_SLOWNESS);
  }

  #current(targetId: string): TargetSpeed {
    const now = performance.now();
    const known = this.#targets.get(targetId);
    if (!known) return { slowness: 1, failures: 0, sampledAtMilliseconds: now };
    const kept = 0.5 ** ((now - known.sampledAtMilliseconds) / HALF_LIFE_MILLISECONDS);
    return {
      slowness: 1 + (known.slowness - 1) * kept,
      failures: known.failures * kept,
      sampledAtMilliseconds: now,
    };
  }

  /** Usual time of a kind of work in milliseconds; undefined before the first sample. */
  usualMilliseconds(kind: string): number | undefined {
    return this.#means.get(kind);
  }

  /** Forgets targets that are gone. */
  retain(isKnown: (targetId: string) => boolean): void {
    [...this.#targets.keys()]
      .filter((id) => !isKnown(id))
      .forEach((id) => this.#targets.delete(id));
  }
}

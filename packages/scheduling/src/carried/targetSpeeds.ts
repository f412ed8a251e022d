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

interface TargetSpeed {
  slowness: number;
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
    const slowness = this.slowness(targetId);
    this.#targets.set(targetId, {
      slowness: slowness + (sample - slowness) * SAMPLE_WEIGHT,
      sampledAtMilliseconds: performance.now(),
    });
  }

  /** Service time against the usual; 1 is usual, 2 is half as fast. */
  slowness(targetId: string): number {
    const known = this.#targets.get(targetId);
    if (!known) return 1;
    const age = performance.now() - known.sampledAtMilliseconds;
    return 1 + (known.slowness - 1) * 0.5 ** (age / HALF_LIFE_MILLISECONDS);
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

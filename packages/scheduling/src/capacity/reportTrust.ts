/** Weight of a new answer in the compared means. */
const SAMPLE_WEIGHT = 0.3;

/** Difference of logarithms up to which report and answers agree: a factor of two. */
const TOLERANCE = Math.LN2;

/** Change of the trust when a report agrees with unusual answers, and when it doesn't. */
const GAIN = 0.25;
const LOSS = 0.5;

/**
 * Compares the durations that a target reports with those of its answers. A report counts only as far
 * as it was right when answers were unusually slow; reports of usual durations prove nothing.
 */
export class ReportTrust {
  #answered = 0;

  #reported = 0;

  #trust = 0;

  /** From 0, if reports are ignored, to 1. */
  get trust(): number {
    return this.#trust;
  }

  /** Records an answer; both durations are relative to the usual duration. */
  observe(answeredSlowdown: number, reportedSlowdown: number): void {
    this.#answered += (Math.log(answeredSlowdown) - this.#answered) * SAMPLE_WEIGHT;
    this.#reported += (Math.log(reportedSlowdown) - this.#reported) * SAMPLE_WEIGHT;
    const isUnusual = Math.max(this.#answered, Math.abs(this.#reported)) > TOLERANCE;
    if (!isUnusual) return;
    const isRight = Math.abs(this.#answered - this.#reported) <= TOLERANCE;
    this.#trust = Math.min(1, Math.max(0, this.#trust + (isRight ? GAIN : -LOSS)));
  }
}

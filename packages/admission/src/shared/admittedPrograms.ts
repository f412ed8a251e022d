/**
 * Programs that an instance admitted, each until it should have ended. Requests of one program may
 * reach several instances, so that only the one which admitted it counts it.
 */
export class AdmittedPrograms {
  /** Times at which programs should have ended, in milliseconds. */
  #ends: number[] = [];

  /** Programs that should be under way now. */
  get count(): number {
    const now = performance.now();
    this.#ends = this.#ends.filter((end) => end > now);
    return this.#ends.length;
  }

  /** Time until the first of them should have ended, in seconds; undefined where there is none. */
  get secondsToNextEnd(): number | undefined {
    if (this.count === 0) return undefined;
    return (Math.min(...this.#ends) - performance.now()) / 1_000;
  }

  /** Notes a program that begins. */
  add(expectedMilliseconds: number): void {
    this.#ends.push(performance.now() + expectedMilliseconds);
  }
}

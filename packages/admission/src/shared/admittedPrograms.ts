/**
 * Programs that an instance admitted, each counted until its expected end. Requests of one program
 * may reach several instances, so only the instance that admitted a program counts it.
 */
export class AdmittedPrograms {
  /** Expected end times of the programs, in milliseconds. */
  #expectedEnds: number[] = [];

  /** Number of programs that are expected to be running now. */
  get count(): number {
    const now = performance.now();
    this.#expectedEnds = this.#expectedEnds.filter((end) => end > now);
    return this.#expectedEnds.length;
  }

  /** Time until the first expected end, in seconds; undefined if no program is running. */
  get secondsToNextEnd(): number | undefined {
    if (this.count === 0) return undefined;
    return (Math.min(...this.#expectedEnds) - performance.now()) / 1_000;
  }

  /** Adds a program that starts now. */
  add(expectedMilliseconds: number): void {
    this.#expectedEnds.push(performance.now() + expectedMilliseconds);
  }
}

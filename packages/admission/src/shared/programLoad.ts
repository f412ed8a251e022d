/** Time over which requests and programs are averaged, in seconds. */
const AVERAGE_SECONDS = 10;

/** Requests a second of a program until enough were seen: a turn of some 150 ms with a tool call. */
const USUAL_REQUESTS_PER_SECOND = 8;

/** Seconds of programs under way that the usual figure weighs as much as. */
const USUAL_WEIGHT_SECONDS = 5;

const MILLISECONDS = 1_000;

/**
 * How many requests a program sends while it is under way, measured over all organisations of an
 * instance: their programs differ less than a single one from its own mean.
 */
export class ProgramLoad {
  #requests = 0;

  #programSeconds = 0;

  #updatedAtMilliseconds = performance.now();

  /** Requests a second of a program. */
  get requestsPerProgramSecond(): number {
    this.#advance();
    const requests = this.#requests + USUAL_REQUESTS_PER_SECOND * USUAL_WEIGHT_SECONDS;
    return requests / (this.#programSeconds + USUAL_WEIGHT_SECONDS);
  }

  /** Notes a request of a program. */
  noteRequest(): void {
    this.#advance();
    this.#requests += 1;
  }

  /** Notes a program that begins, with the time that it should take. */
  noteProgram(expectedMilliseconds: number): void {
    this.#advance();
    this.#programSeconds += expectedMilliseconds / MILLISECONDS;
  }

  #advance(): void {
    const now = performance.now();
    const seconds = (now - this.#updatedAtMilliseconds) / MILLISECONDS;
    if (seconds <= 0) return;
    this.#updatedAtMilliseconds = now;
    const decay = Math.exp(-seconds / AVERAGE_SECONDS);
    this.#requests *= decay;
    this.#programSeconds *= decay;
  }
}

/** Time over which requests and programs are averaged, in seconds. */
const AVERAGE_SECONDS = 10;

/**
 * Assumed requests per second of a program until enough are counted: a turn of about 150 ms with a
 * tool call.
 */
const PRIOR_REQUESTS_PER_SECOND = 8;

/** Weight of that assumption, in seconds of program run time. */
const PRIOR_WEIGHT_SECONDS = 5;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * Request rate of a running program, measured over all organisations of an instance, because their
 * programs differ less from each other than a single program does from its own mean.
 */
export class ProgramLoad {
  #requests = 0;

  #programSeconds = 0;

  #updatedAtMilliseconds = performance.now();

  /** Requests per second of a running program. */
  get requestsPerProgramSecond(): number {
    this.#advance();
    const requests = this.#requests + PRIOR_REQUESTS_PER_SECOND * PRIOR_WEIGHT_SECONDS;
    return requests / (this.#programSeconds + PRIOR_WEIGHT_SECONDS);
  }

  /** Counts a request of a program. */
  recordRequest(): void {
    this.#advance();
    this.#requests += 1;
  }

  /** Counts a program that starts, with its expected run time. */
  recordProgram(expectedMilliseconds: number): void {
    this.#advance();
    this.#programSeconds += expectedMilliseconds / MILLISECONDS_PER_SECOND;
  }

  #advance(): void {
    const now = performance.now();
    const seconds = (now - this.#updatedAtMilliseconds) / MILLISECONDS_PER_SECOND;
    if (seconds <= 0) return;
    this.#updatedAtMilliseconds = now;
    const decay = Math.exp(-seconds / AVERAGE_SECONDS);
    this.#requests *= decay;
    this.#programSeconds *= decay;
  }
}

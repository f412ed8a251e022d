import { RecentRate } from './recentRate';

/** A program without a request for this long has probably ended. */
const ACTIVITY_MILLISECONDS = 1_500;

/** Time over which the requests of programs are averaged. */
const AVERAGE_MILLISECONDS = 10_000;

/** Requests per second assumed until enough are counted, and the weight of this assumption. */
const ASSUMED_REQUESTS_PER_SECOND = 1.8;
const ASSUMPTION_WEIGHT_SECONDS = 10;

/** Programs under way at this instance, and the requests that they send to each service. */
export class ProgramActivity {
  /** When each program last sent a request, oldest first. */
  readonly #lastRequestAt = new Map<string, number>();

  readonly #requests = new Map<string, RecentRate>();

  /** Program seconds, counted at each request. */
  readonly #programSeconds = new RecentRate(AVERAGE_MILLISECONDS);

  #countedAtMilliseconds = performance.now();

  /** Number of programs that are under way. */
  get activePrograms(): number {
    const from = performance.now() - ACTIVITY_MILLISECONDS;
    for (const [key, at] of this.#lastRequestAt) {
      if (at > from) break;
      this.#lastRequestAt.delete(key);
    }
    return this.#lastRequestAt.size;
  }

  /** Whether a program is under way at this instance. */
  isActive(programKey: string): boolean {
    return this.activePrograms > 0 && this.#lastRequestAt.has(programKey);
  }

  /** Requests per second that a program under way sends to a service while nothing holds it up. */
  getRequestsPerProgramSecond(service: string): number {
    const requests = this.#requests.get(service)?.sum ?? 0;
    const assumed = ASSUMED_REQUESTS_PER_SECOND * ASSUMPTION_WEIGHT_SECONDS;
    return (requests + assumed) / (this.#programSeconds.sum + ASSUMPTION_WEIGHT_SECONDS);
  }

  /**
   * Records a request of a program. Requests that limits hold up say nothing about what the program
   * needs, so they are not averaged.
   */
  recordRequest(programKey: string, service: string, isHeldUp: boolean): void {
    const now = performance.now();
    const seconds = (now - this.#countedAtMilliseconds) / 1_000;
    this.#countedAtMilliseconds = now;
    if (!isHeldUp) {
      this.#programSeconds.add(this.activePrograms * Math.min(1, seconds));
      this.#getRequests(service).add(1);
    }
    this.#lastRequestAt.delete(programKey);
    this.#lastRequestAt.set(programKey, now);
  }

  #getRequests(service: string): RecentRate {
    const existing = this.#requests.get(service);
    if (existing) return existing;
    const requests = new RecentRate(AVERAGE_MILLISECONDS);
    this.#requests.set(service, requests);
    return requests;
  }
}

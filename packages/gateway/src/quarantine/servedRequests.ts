/** Requests that were served lately; the oldest are forgotten beyond this. */
const MAXIMUM_REQUESTS = 8_192;

/** Time for which a served request is known as one that does not crash its targets. */
const RETENTION_MILLISECONDS = 60_000;

/** Digests of requests that targets served here lately. */
export class ServedRequests {
  readonly #servedAt = new Map<string, number>();

  record(digest: string): void {
    this.#servedAt.delete(digest);
    this.#servedAt.set(digest, performance.now());
    if (this.#servedAt.size <= MAXIMUM_REQUESTS) return;
    const [oldest] = this.#servedAt.keys();
    if (oldest !== undefined) this.#servedAt.delete(oldest);
  }

  /** Returns how long ago a request was served, in milliseconds; undefined where it was not lately. */
  getAgeMilliseconds(digest: string): number | undefined {
    const servedAt = this.#servedAt.get(digest);
    if (servedAt === undefined) return undefined;
    const age = performance.now() - servedAt;
    return age < RETENTION_MILLISECONDS ? age : undefined;
  }
}

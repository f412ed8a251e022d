/** Number of recently served requests that are kept; the oldest are evicted beyond this number. */
const MAXIMUM_REQUESTS = 8_192;

/** How long a served request is considered not to crash its targets. */
const RETENTION_MILLISECONDS = 60_000;

/** Digests of requests that targets recently served for this instance. */
export class ServedRequests {
  readonly #servedAt = new Map<string, number>();

  record(digest: string): void {
    this.#servedAt.delete(digest);
    this.#servedAt.set(digest, performance.now());
    if (this.#servedAt.size <= MAXIMUM_REQUESTS) return;
    const [oldest] = this.#servedAt.keys();
    if (oldest !== undefined) this.#servedAt.delete(oldest);
  }

  /** Returns the milliseconds since a request was served; undefined if it was not served recently. */
  getAgeMilliseconds(digest: string): number | undefined {
    const servedAt = this.#servedAt.get(digest);
    if (servedAt === undefined) return undefined;
    const age = performance.now() - servedAt;
    return age < RETENTION_MILLISECONDS ? age : undefined;
  }
}

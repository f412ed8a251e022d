/** Thrown when an engine refuses an order because it has seen a higher fencing number. */
export class StaleFencingNumberError extends Error {
  /** The highest number that the engine has seen. */
  readonly newest: number;

  constructor(newest: number) {
    super('stale fencing number');
    this.newest = newest;
  }
}

/** Connections that each use may have open at once. */
export interface DescriptorBounds {
  /** Connections of callers. */
  readonly callers: number;
  /** Requests that run at once, each with a connection to a target. */
  readonly running: number;
  readonly peers: number;
  readonly readiness: number;
  readonly metrics: number;
}

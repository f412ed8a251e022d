/** Callers that resume a stream have come back within this time. */
const SHORTEST_WINDOW_MILLISECONDS = 60_000;

/** The first attempt and its resumption last for at most the timeout of their route each. */
const ATTEMPTS_OF_A_STREAM = 2;

/** Returns the time after its begin within which a stream may be resumed, in milliseconds. */
export const computeResumptionWindow = (routeTimeoutMilliseconds: number): number =>
  Math.max(SHORTEST_WINDOW_MILLISECONDS, ATTEMPTS_OF_A_STREAM * routeTimeoutMilliseconds);

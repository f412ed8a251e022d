import type { RatePart } from '@limpetnotch/admission';
import type { LimitRole } from './decideLimitRole';

/** Span over which tokens are counted; the platform measures limits over the same span. */
const WINDOW_SECONDS = 4;

/** Requests that a target may get at once, as seconds of its limit, unless the limit says so. */
const BURST_SECONDS = 0.5;

/** Share of the limit while another instance may act as the owner. */
const UNSETTLED_SHARE = 0.375;

/** Share of the limit that is handed out without the owner. */
const RESERVE_SHARE = 0.25;

/** A limit whose tokens are handed out. */
export interface RateLimit {
  readonly requestsPerSecond: number;
  /** Requests that the target may get at once; half a second's by default. */
  readonly burst?: number;
}

const toWholePart = (perSecond: number, burst: number): RatePart => ({
  perSecond,
  burst,
  windowSeconds: WINDOW_SECONDS,
  holders: 1,
  rank: 0,
});

/** Returns the part of a limit that a role may hand out; undefined if it may hand out none. */
export const toRatePart = (
  role: LimitRole,
  { requestsPerSecond, burst = Math.max(1, requestsPerSecond * BURST_SECONDS) }: RateLimit,
): RatePart | undefined => {
  switch (role.kind) {
    case 'owner':
      // With at least one token in each window, the end of a very low limit is noticed.
      return role.isSettled
        ? toWholePart(requestsPerSecond, burst)
        : toWholePart(requestsPerSecond * UNSETTLED_SHARE, 1);
    case 'deputy':
      return toWholePart(requestsPerSecond * RESERVE_SHARE, 0);
    case 'isolated':
      return toWholePart((requestsPerSecond * RESERVE_SHARE) / role.members, 0);
    case 'none':
      return undefined;
  }
};

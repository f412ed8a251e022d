import type { RatePart } from '@limpetnotch/admission';
import { chooseLimitHolders } from './chooseLimitHolders';

/** What an instance may hand out of a target's limit. */
export type LimitRole =
  /** The whole limit, or part of it while another instance may still act as the owner. */
  | { readonly kind: 'owner'; readonly isSettled: boolean }
  /** A small part, for instances that can't reach the owner. */
  | { readonly kind: 'deputy' }
  /** A share of a small part, for an instance that reaches neither of them. */
  | { readonly kind: 'isolated'; readonly members: number }
  | { readonly kind: 'none' };

/** Input of the decision on an instance's role. */
export interface LimitRoleSituation {
  readonly incarnationKey: string;
  readonly instance: string;
  /** Lists of members that may be in use, the current one last. */
  readonly memberLists: readonly (readonly string[])[];
  /** Whether the current list was confirmed recently. */
  readonly isConfirmed: boolean;
  readonly isOwnerUnreachable: boolean;
  readonly isDeputyUnreachable: boolean;
}

/**
 * Decides an instance's role for a target's limit. All instances choose the same owner while their
 * lists of members are equal. Where they may differ, two instances may act as owners, so the parts
 * are chosen such that one full and one reduced part stay within the tolerated excess.
 */
export const decideLimitRole = (situation: LimitRoleSituation): LimitRole => {
  const { incarnationKey, instance, memberLists } = situation;
  const members = memberLists.at(-1) ?? [];
  if (!members.includes(instance)) return { kind: 'none' };
  const { owner, deputy } = chooseLimitHolders(incarnationKey, members);
  if (owner === instance) {
    const wasOwner = memberLists
      .slice(0, -1)
      .every((list) => chooseLimitHolders(incarnationKey, list).owner === instance);
    return { kind: 'owner', isSettled: wasOwner && situation.isConfirmed };
  }
  if (!situation.isOwnerUnreachable) return { kind: 'none' };
  if (deputy === instance) return { kind: 'deputy' };
  return situation.isDeputyUnreachable
    ? { kind: 'isolated', members: members.length }
    : { kind: 'none' };
};

/** Span over which tokens are counted; the platform measures limits over the same span. */
const WINDOW_SECONDS = 4;

/** Requests that a target may get at once, as seconds of its limit. */
const BURST_SECONDS = 0.5;

/** Share of the limit while another instance may act as the owner. */
const UNSETTLED_SHARE = 0.375;

/** Share of the limit that is handed out without the owner. */
const RESERVE_SHARE = 0.25;

const toWholePart = (perSecond: number, burst: number): RatePart => ({
  perSecond,
  burst,
  windowSeconds: WINDOW_SECONDS,
  holders: 1,
  rank: 0,
});

/** Returns the part of a limit that a role may hand out; undefined if it may hand out none. */
export const toRatePart = (role: LimitRole, requestsPerSecond: number): RatePart | undefined => {
  switch (role.kind) {
    case 'owner':
      // With at least one token in each window, the end of a very low limit is noticed.
      return role.isSettled
        ? toWholePart(requestsPerSecond, Math.max(1, requestsPerSecond * BURST_SECONDS))
        : toWholePart(requestsPerSecond * UNSETTLED_SHARE, 1);
    case 'deputy':
      return toWholePart(requestsPerSecond * RESERVE_SHARE, 0);
    case 'isolated':
      return toWholePart((requestsPerSecond * RESERVE_SHARE) / role.members, 0);
    case 'none':
      return undefined;
  }
};

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

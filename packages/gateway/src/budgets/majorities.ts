/** Lists of members on which tokens may have been granted. */
export type MemberListsInForce = readonly (readonly string[])[];

const countIn = (members: readonly string[], names: ReadonlySet<string>): number =>
  members.filter((name) => names.has(name)).length;

/** Whether some names are a majority of each list, so that two such sets share a member. */
export const areMajority = (lists: MemberListsInForce, names: ReadonlySet<string>): boolean =>
  lists.length > 0 && lists.every((members) => 2 * countIn(members, names) > members.length);

/**
 * Whether every majority of each list has a member among some names, which do not include the member
 * that asks: half of the list or more.
 */
export const meetEveryMajority = (lists: MemberListsInForce, names: ReadonlySet<string>): boolean =>
  lists.length > 0 && lists.every((members) => 2 * countIn(members, names) >= members.length);

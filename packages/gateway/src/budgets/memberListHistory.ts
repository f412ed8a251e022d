import type { MemberListsInForce } from './majorities';

interface FormerList {
  readonly members: readonly string[];
  readonly replacedAtMilliseconds: number;
}

/**
 * Time that a list must be in force before tokens are granted on it. Lists that are replaced sooner,
 * as while the members of a new fleet join one by one, need not be remembered.
 */
const SETTLE_MILLISECONDS = 2_000;

/** Lists of members on which tokens may have been granted without the store. */
export class MemberListHistory {
  #current: { readonly members: readonly string[]; readonly sinceMilliseconds: number } | undefined;

  #former: readonly FormerList[] = [];

  /** Records the list that is in force from now on. */
  record(members: readonly string[]): void {
    if (this.#current?.members.join() === members.join()) return;
    if (this.#current && this.#hasSettled) this.learn([this.#current.members]);
    this.#current = { members, sinceMilliseconds: performance.now() };
  }

  /** Adds lists that were in force up to now, here or at another instance. */
  learn(lists: MemberListsInForce): void {
    const replacedAtMilliseconds = performance.now();
    const learned = new Set(lists.map((members) => members.join()));
    const others = this.#former.filter(({ members }) => !learned.has(members.join()));
    this.#former = [...others, ...lists.map((members) => ({ members, replacedAtMilliseconds }))];
  }

  /** Returns the lists other than the current one that were in force within a time up to now. */
  formerWithin(milliseconds: number): MemberListsInForce {
    const from = performance.now() - milliseconds;
    this.#former = this.#former.filter(
      ({ replacedAtMilliseconds }) => replacedAtMilliseconds > from,
    );
    return this.#former.map(({ members }) => members);
  }

  /** Returns all lists in force within a time up to now; none if the current one has not settled. */
  within(milliseconds: number): MemberListsInForce {
    return this.#hasSettled ? this.knownWithin(milliseconds) : [];
  }

  /** Returns all known lists in force within a time up to now, also a current one that is new. */
  knownWithin(milliseconds: number): MemberListsInForce {
    const current = this.#current ? [this.#current.members] : [];
    return [...this.formerWithin(milliseconds), ...current];
  }

  get #hasSettled(): boolean {
    const sinceMilliseconds = this.#current?.sinceMilliseconds ?? Infinity;
    return performance.now() - sinceMilliseconds >= SETTLE_MILLISECONDS;
  }
}

/**
 * Time for which an earlier list of members may still be in use at another instance: one that can't
 * reach the store stops relying on its list half a second earlier.
 */
const SETTLE_MILLISECONDS = 4_000;

interface MemberList {
  readonly members: readonly string[];
  readonly sinceMilliseconds: number;
}

/** The list of members and those that other instances may still use. */
export class MemberLists {
  #lists: readonly MemberList[] = [];

  get current(): readonly string[] {
    return this.#lists.at(-1)?.members ?? [];
  }

  /** Lists that were in force at any time within the settle time. */
  get recent(): readonly (readonly string[])[] {
    this.#prune();
    return this.#lists.map(({ members }) => members);
  }

  record(members: readonly string[]): void {
    if (members.join() === this.current.join()) return;
    this.#lists = [...this.#lists, { members, sinceMilliseconds: performance.now() }];
    this.#prune();
  }

  /** Removes lists that were replaced before the settle time. */
  #prune(): void {
    const from = performance.now() - SETTLE_MILLISECONDS;
    this.#lists = this.#lists.filter((_list, index) => {
      const replacedAt = this.#lists[index + 1]?.sinceMilliseconds ?? Infinity;
      return replacedAt > from;
    });
  }
}

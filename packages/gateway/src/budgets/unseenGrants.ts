import type { Logger, Metrics } from '@limpetnotch/observability';
import { delay } from '@limpetnotch/supervision';
import { rankInstances } from '../util/rankInstances';
import type { GrantMemory } from './grantMemory';
import type { GrantPeers, PeerPromises } from './grantPeers';
import { meetEveryMajority } from './majorities';
import type { MemberListsInForce } from './majorities';
import type { MemberListHistory } from './memberListHistory';

/** Maximum number of questions to the other members for which a turn waits. */
const MAXIMUM_ATTEMPTS = 2;

/** Time until they are asked again; one that lost the store has tried it again by then. */
const RETRY_MILLISECONDS = 300;

/** Parts of {@link UnseenGrants}. */
export interface UnseenGrantsParts {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Name of this instance, as in the lists of members. */
  readonly instance: string;
  readonly memory: GrantMemory;
  readonly peers: Pick<GrantPeers, 'listPromises'>;
  readonly memberLists: Pick<MemberListHistory, 'knownWithin' | 'learn'>;
  /** Time after which a program that had a grant no longer runs, in milliseconds. */
  readonly programRetention: () => number;
  /** Until when this process last stood still, by `performance.now()`; -Infinity if it never did. */
  readonly stoodStillUntil: () => number;
}

/**
 * Tells whether other processes may have granted tokens without the store that this one was not told
 * of. That takes a time in which the store may have been unreachable: it was for this process, or this
 * process stood still or did not run. Only the word of a member of each majority that may have
 * promised such a grant, given after that time, rules it out.
 */
export class UnseenGrants {
  readonly #parts: UnseenGrantsParts;

  #storeLostUntilMilliseconds: number;

  #ruledOutAtMilliseconds = -Infinity;

  /** Attempt under way to rule out such grants. */
  #attempt: Promise<void> | undefined;

  constructor(parts: UnseenGrantsParts) {
    this.#parts = parts;
    this.#storeLostUntilMilliseconds = parts.memory.isComplete ? -Infinity : performance.now();
  }

  get mayExist(): boolean {
    const lostUntil = this.storeLostUntilMilliseconds;
    if (lostUntil < this.#ruledOutAtMilliseconds) return false;
    return performance.now() - lostUntil <= this.#parts.programRetention();
  }

  /** Last time at which the store may have been unreachable, by `performance.now()`. */
  get storeLostUntilMilliseconds(): number {
    return Math.max(this.#storeLostUntilMilliseconds, this.#parts.stoodStillUntil());
  }

  /** Lists of members on which another process may have granted tokens. */
  get memberLists(): MemberListsInForce {
    return this.#parts.memberLists.knownWithin(this.#parts.programRetention());
  }

  /** Records that the store may have been unreachable until now. */
  recordStoreLoss(): void {
    this.#storeLostUntilMilliseconds = performance.now();
  }

  /**
   * Asks other members for their promises until such grants are ruled out or known, or a turn can't
   * wait any longer. The store must have responded before. Turns share the attempts.
   */
  async learn(): Promise<void> {
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS && this.mayExist; attempt += 1) {
      this.#attempt ??= this.#ruleOut()
        .then((isRuledOut) => (isRuledOut ? undefined : delay(RETRY_MILLISECONDS)))
        .finally(() => {
          this.#attempt = undefined;
        });
      await this.#attempt;
    }
  }

  /**
   * Asks all other members for their promises; returns whether none can be missing. Rules further
   * grants out if the store has just responded.
   */
  async learnAll(hasStoreResponded: boolean): Promise<boolean> {
    const askedAtMilliseconds = performance.now();
    const replies = await this.#ask(this.#otherMembers);
    if (hasStoreResponded) this.#ruleOutBy(replies, askedAtMilliseconds);
    return this.#meetEveryMajority(replies);
  }

  /** Asks half of the other members, and the rest if those don't suffice. */
  async #ruleOut(): Promise<boolean> {
    const { memory, logger, metrics } = this.#parts;
    const askedAtMilliseconds = performance.now();
    const members = rankInstances(memory.process, this.#otherMembers);
    const half = Math.ceil(members.length / 2);
    const replies = [...(await this.#ask(members.slice(0, half)))];
    let isRuledOut = this.#ruleOutBy(replies, askedAtMilliseconds);
    if (!isRuledOut) {
      replies.push(...(await this.#ask(members.slice(half))));
      isRuledOut = this.#ruleOutBy(replies, askedAtMilliseconds);
    }
    metrics.increment('budget.unseen-grants', 1, {
      outcome: isRuledOut ? 'ruled-out' : 'possible',
    });
    logger.info('budget.unseen-grants', {
      members: members.length,
      replies: replies.length,
      isRuledOut,
      milliseconds: Math.round(performance.now() - askedAtMilliseconds),
    });
    return isRuledOut;
  }

  /** A member that can't reach the store may promise another grant after its reply. */
  #ruleOutBy(replies: readonly PeerPromises[], askedAtMilliseconds: number): boolean {
    const isRuledOut =
      this.#isAlone || this.#meetEveryMajority(replies.filter(({ canUseStore }) => canUseStore));
    if (isRuledOut) this.#ruledOutAtMilliseconds = askedAtMilliseconds;
    return isRuledOut;
  }

  /** Learns the promises of some members; returns the replies of complete memories. */
  async #ask(names: readonly string[]): Promise<readonly PeerPromises[]> {
    const { peers, memory, memberLists } = this.#parts;
    if (names.length === 0) return [];
    const replies = await peers.listPromises(names);
    replies.forEach((reply) => {
      reply.promises.forEach((promise) => memory.learnPromise(promise));
      memberLists.learn(reply.memberLists);
    });
    return replies.filter(({ isComplete }) => isComplete);
  }

  /** Whether each majority that may have promised a grant has a member among those who replied. */
  #meetEveryMajority(replies: readonly PeerPromises[]): boolean {
    return meetEveryMajority(this.memberLists, new Set(replies.map(({ name }) => name)));
  }

  /** Other members on whose promises a grant that still matters may rest. */
  get #otherMembers(): readonly string[] {
    const names = new Set(this.memberLists.flat());
    names.delete(this.#parts.instance);
    return [...names];
  }

  get #isAlone(): boolean {
    return this.memberLists.length > 0 && this.#otherMembers.length === 0;
  }
}

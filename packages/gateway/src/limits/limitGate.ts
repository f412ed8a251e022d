import type { FleetTarget } from '../targets/fleetTarget';
import { chooseLimitHolders } from './chooseLimitHolders';
import type { LimitHolders } from './chooseLimitHolders';
import { decideLimitRole } from './decideLimitRole';
import type { LimitRole, LimitRoleSituation } from './decideLimitRole';
import type { LimitKnowledge } from './limitKnowledge';
import type { LimitMembership, LimitPeers, TokenReply, TokenRequest } from './limitPeers';
import { LimitTokens } from './limitTokens';
import { toRatePart } from './toRatePart';

/** Time after which a limit is asked for again if the holders are unknown or disagree. */
const UNCERTAIN_RETRY_MILLISECONDS = 250;

/** Whether a request may be sent to a target now. */
export type LimitDecision =
  | { readonly kind: 'unlimited' }
  | {
      readonly kind: 'granted';
      readonly requestsPerSecond: number;
      /** Whole tokens that the holder has left. */
      readonly remaining: number;
    }
  | { readonly kind: 'denied'; readonly requestsPerSecond: number };

/** Dependencies of a {@link LimitGate}. */
export interface LimitGateParts {
  readonly limits: LimitKnowledge;
  readonly peers: LimitPeers;
  readonly membership: LimitMembership;
}

interface LimitedTarget {
  readonly incarnationKey: string;
  readonly tokens: LimitTokens;
  /** Time before which no token can be had. */
  notBeforeMilliseconds: number;
  /** Whole tokens that the holder had left when it last responded. */
  remaining: number;
  /** Number of requests that wait for the running call to a holder. */
  waitingRequests: number;
  tokenRequest: Promise<void> | undefined;
}

type Unreachable = Pick<LimitRoleSituation, 'isOwnerUnreachable' | 'isDeputyUnreachable'>;

const ALL_REACHABLE: Unreachable = { isOwnerUnreachable: false, isDeputyUnreachable: false };

/**
 * Keeps the requests of all instances to a target within the limit that the target names. One
 * instance, the owner, holds all tokens of a limit, and the others request single tokens from it, so
 * that even a limit below one request a second for each instance is kept and used.
 */
export class LimitGate {
  readonly #parts: LimitGateParts;

  readonly #targets = new Map<string, LimitedTarget>();

  /** Holders by incarnation, for the list of members at the revision. */
  #holders = new Map<string, LimitHolders>();

  #holdersRevision = 0;

  constructor(parts: LimitGateParts) {
    this.#parts = parts;
  }

  /** Whether requests to a target are limited. */
  isLimited(target: FleetTarget): boolean {
    if (!this.#parts.limits.isAnyLimited) return false;
    return this.#parts.limits.getLimit(this.#keyOf(target)) !== undefined;
  }

  /** Whether a target names a limit itself, so that it takes less than it usually does. */
  isReduced(target: FleetTarget): boolean {
    return this.#parts.limits.isAnyLimited && this.#parts.limits.isNamedBy(target);
  }

  /** Returns the limit of a target in requests per second; undefined if there is none. */
  getRequestsPerSecond(target: FleetTarget): number | undefined {
    return this.#parts.limits.getLimit(this.#keyOf(target))?.requestsPerSecond;
  }

  /** Returns the time until a request may be sent to a target, as far as it is known. */
  getWaitMilliseconds(target: FleetTarget): number {
    if (!this.isLimited(target)) return 0;
    const limited = this.#targets.get(this.#keyOf(target));
    return Math.max(0, (limited?.notBeforeMilliseconds ?? 0) - performance.now());
  }

  /** Takes a token for one request to a target. */
  async acquire(target: FleetTarget): Promise<LimitDecision> {
    const incarnationKey = this.#keyOf(target);
    const limit = this.#parts.limits.getLimit(incarnationKey);
    if (!limit) return { kind: 'unlimited' };
    const limited = this.#getOrCreate(incarnationKey);
    if (!limited.tokens.trySpendReceived()) {
      if (this.getWaitMilliseconds(target) > 0) return this.#deny(limit.requestsPerSecond);
      if (!(await this.#takeToken(limited))) return this.#denyOrPass(target);
    }
    const { requestsPerSecond } = this.#parts.limits.getLimit(incarnationKey) ?? limit;
    return { kind: 'granted', requestsPerSecond, remaining: limited.remaining };
  }

  /** Responds to another instance that requests tokens. */
  handleTokenRequest(request: TokenRequest): TokenReply {
    const { limits, membership } = this.#parts;
    const { incarnationKey, instance, wanted, isOwnerUnreachable } = request;
    const state = limits.mergeRequested(incarnationKey, request.state);
    membership.noteRevision(request.membersRevision);
    const { membersRevision } = membership;
    const common = { given: 0, remaining: 0, nextMilliseconds: 0, state, membersRevision };
    if (state?.kind !== 'limited') return { ...common, isHolder: true };
    const role = this.#decideRole(incarnationKey, { ...ALL_REACHABLE, isOwnerUnreachable });
    const part = toRatePart(role, state);
    if (!part) return { ...common, isHolder: false };
    const grant = this.#getOrCreate(incarnationKey).tokens.give(instance, part, wanted);
    return { ...common, ...grant, isHolder: true };
  }

  /** Returns the instances that hand out tokens of a limit. */
  getHolders(incarnationKey: string): LimitHolders {
    const { memberLists, membersRevision } = this.#parts.membership;
    if (this.#holdersRevision !== membersRevision) {
      this.#holders.clear();
      this.#holdersRevision = membersRevision;
    }
    const known = this.#holders.get(incarnationKey);
    if (known) return known;
    const holders = chooseLimitHolders(incarnationKey, memberLists.at(-1) ?? []);
    this.#holders.set(incarnationKey, holders);
    return holders;
  }

  /** Forgets incarnations that are no longer known. */
  retain(isKnown: (incarnationKey: string) => boolean): void {
    [this.#targets, this.#holders].forEach((map) =>
      [...map.keys()].filter((key) => !isKnown(key)).forEach((key) => map.delete(key)),
    );
  }

  #deny(requestsPerSecond: number): LimitDecision {
    return { kind: 'denied', requestsPerSecond };
  }

  #keyOf(target: FleetTarget): string {
    return this.#parts.limits.keyOf(target);
  }

  /** The limit may have ended, or another one applies, since a token was requested. */
  #denyOrPass(target: FleetTarget): LimitDecision {
    const limit = this.#parts.limits.getLimit(this.#keyOf(target));
    return limit ? this.#deny(limit.requestsPerSecond) : { kind: 'unlimited' };
  }

  async #takeToken(limited: LimitedTarget): Promise<boolean> {
    const { instance } = this.#parts.membership;
    const { owner } = this.getHolders(limited.incarnationKey);
    if (owner === instance) return this.#spendOwn(limited, ALL_REACHABLE);
    const mutable = limited;
    mutable.waitingRequests += 1;
    mutable.tokenRequest ??= this.#requestTokens(limited).finally(() => {
      mutable.tokenRequest = undefined;
    });
    await mutable.tokenRequest;
    mutable.waitingRequests -= 1;
    return limited.tokens.trySpendReceived();
  }

  /** Requests tokens from the owner or, if it doesn't respond, from the deputy. */
  async #requestTokens(limited: LimitedTarget): Promise<void> {
    const { instance } = this.#parts.membership;
    const { owner, deputy } = this.getHolders(limited.incarnationKey);
    const ownerReply = await this.#askHolder(limited, owner, false);
    if (this.#applyReply(limited, ownerReply)) return;
    if (deputy === instance) {
      this.#moveOwnToReceived(limited, { ...ALL_REACHABLE, isOwnerUnreachable: true });
      return;
    }
    const deputyReply = await this.#askHolder(limited, deputy, true);
    if (this.#applyReply(limited, deputyReply)) return;
    this.#moveOwnToReceived(limited, { isOwnerUnreachable: true, isDeputyUnreachable: true });
  }

  async #askHolder(
    { incarnationKey, waitingRequests }: LimitedTarget,
    holder: string | undefined,
    isOwnerUnreachable: boolean,
  ): Promise<TokenReply | undefined> {
    const { peers, membership, limits } = this.#parts;
    const state = limits.get(incarnationKey);
    if (holder === undefined || !state) return undefined;
    return peers.takeTargetTokens(holder, {
      incarnationKey,
      state,
      instance: membership.instance,
      wanted: Math.max(1, waitingRequests),
      membersRevision: membership.membersRevision,
      isOwnerUnreachable,
    });
  }

  /** Applies the reply of a holder; returns whether there was one. */
  #applyReply(limited: LimitedTarget, reply: TokenReply | undefined): boolean {
    if (!reply) return false;
    const { limits, membership } = this.#parts;
    membership.noteRevision(reply.membersRevision);
    if (reply.state) limits.merge(limited.incarnationKey, reply.state);
    limited.tokens.receive(reply.given);
    const mutable = limited;
    mutable.remaining = reply.remaining;
    const nextMilliseconds = reply.isHolder ? reply.nextMilliseconds : UNCERTAIN_RETRY_MILLISECONDS;
    if (reply.given === 0) mutable.notBeforeMilliseconds = performance.now() + nextMilliseconds;
    return true;
  }

  #moveOwnToReceived(limited: LimitedTarget, unreachable: Unreachable): void {
    if (this.#spendOwn(limited, unreachable)) limited.tokens.receive(1);
  }

  /** Spends a token of the part that this instance hands out; returns whether there was one. */
  #spendOwn(limited: LimitedTarget, unreachable: Unreachable): boolean {
    const { limits, membership } = this.#parts;
    const { incarnationKey } = limited;
    const limit = limits.getLimit(incarnationKey);
    if (!limit) return false;
    const part = toRatePart(this.#decideRole(incarnationKey, unreachable), limit);
    const mutable = limited;
    if (!part) {
      mutable.notBeforeMilliseconds = performance.now() + UNCERTAIN_RETRY_MILLISECONDS;
      return false;
    }
    const grant = limited.tokens.spend(membership.instance, part);
    mutable.remaining = grant.remaining;
    if (grant.given > 0) return true;
    mutable.notBeforeMilliseconds = performance.now() + grant.nextMilliseconds;
    return false;
  }

  #decideRole(incarnationKey: string, unreachable: Unreachable): LimitRole {
    const { instance, memberLists, isConfirmed } = this.#parts.membership;
    return decideLimitRole({ incarnationKey, instance, memberLists, isConfirmed, ...unreachable });
  }

  #getOrCreate(incarnationKey: string): LimitedTarget {
    const existing = this.#targets.get(incarnationKey);
    if (existing) return existing;
    const limited: LimitedTarget = {
      incarnationKey,
      tokens: new LimitTokens(),
      notBeforeMilliseconds: 0,
      remaining: 0,
      waitingRequests: 0,
      tokenRequest: undefined,
    };
    this.#targets.set(incarnationKey, limited);
    return limited;
  }
}

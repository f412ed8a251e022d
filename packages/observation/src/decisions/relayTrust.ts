/**
 * Time for which relayed state must have been current before an instance stops reading for itself,
 * so that it doesn't alternate.
 */
const SETTLE_MILLISECONDS = 3_000;

/** How recent the knowledge of one prefix is. */
export interface PrefixEvidence {
  /** Latest time at which the store is known to have confirmed the state, by any way. */
  readonly anyAtMilliseconds: number;
  /** The same by relayed updates alone. */
  readonly relayedAtMilliseconds: number;
  /** Age after which it is no longer trusted. */
  readonly trustMilliseconds: number;
}

/** Whether the state that others relay may stand in for an instance's own reading. */
export interface TrustDecision {
  readonly isTrusted: boolean;
  /** Time at which to decide again if nothing happens; undefined if only an event changes it. */
  readonly nextCheckAtMilliseconds: number | undefined;
}

/** Decides, over time, whether an instance can rely on relayed state. */
export class RelayTrust {
  #isTrusted = true;

  #isCurrentSinceMilliseconds: number | undefined;

  /** Decides anew; with no prefix there is nothing that could be out of date. */
  decide(nowMilliseconds: number, evidence: readonly PrefixEvidence[]): TrustDecision {
    return this.#isTrusted
      ? this.#decideTrusted(nowMilliseconds, evidence)
      : this.#decideDistrusted(nowMilliseconds, evidence);
  }

  #decideTrusted(nowMilliseconds: number, evidence: readonly PrefixEvidence[]): TrustDecision {
    const expiresAt = Math.min(
      ...evidence.map(
        ({ anyAtMilliseconds, trustMilliseconds }) => anyAtMilliseconds + trustMilliseconds,
      ),
    );
    if (nowMilliseconds < expiresAt) {
      return {
        isTrusted: true,
        nextCheckAtMilliseconds: Number.isFinite(expiresAt) ? expiresAt : undefined,
      };
    }
    this.#isTrusted = false;
    this.#isCurrentSinceMilliseconds = undefined;
    return { isTrusted: false, nextCheckAtMilliseconds: undefined };
  }

  #decideDistrusted(nowMilliseconds: number, evidence: readonly PrefixEvidence[]): TrustDecision {
    const isCurrent = evidence.every(
      ({ relayedAtMilliseconds, trustMilliseconds }) =>
        nowMilliseconds - relayedAtMilliseconds < trustMilliseconds,
    );
    if (!isCurrent) {
      this.#isCurrentSinceMilliseconds = undefined;
      return { isTrusted: false, nextCheckAtMilliseconds: undefined };
    }
    this.#isCurrentSinceMilliseconds ??= nowMilliseconds;
    const settledAt = this.#isCurrentSinceMilliseconds + SETTLE_MILLISECONDS;
    if (nowMilliseconds < settledAt) {
      return { isTrusted: false, nextCheckAtMilliseconds: settledAt };
    }
    this.#isTrusted = true;
    return this.#decideTrusted(nowMilliseconds, evidence);
  }
}

import type { RatePart } from '@limpetnotch/admission';
import { SharedRate } from '@limpetnotch/admission';

/** An instance that was denied a token counts as competing for the next ones this long. */
const COMPETITION_MILLISECONDS = 1_000;

/** Bounds of the time after which an instance asks again. */
const SHORTEST_RETRY_MILLISECONDS = 5;
const LONGEST_RETRY_MILLISECONDS = 1_000;

const MILLISECONDS_PER_SECOND = 1_000;

const NO_PART: RatePart = { perSecond: 0, burst: 0, windowSeconds: 1, holders: 0, rank: 0 };

/** Result of taking tokens. */
export interface TokenGrant {
  readonly given: number;
  /** Whole tokens that are left. */
  readonly remaining: number;
  /** Time after which the same instance may get the next token; 0 if some were given. */
  readonly nextMilliseconds: number;
}

/** Tokens of one target's limit: those that this instance hands out, and those that it received. */
export class LimitTokens {
  readonly #received = new SharedRate(NO_PART);

  #own: SharedRate | undefined;

  /** When each competing instance was last denied a token. */
  readonly #deniedAt = new Map<string, number>();

  /** Adds tokens that a holder has given up. */
  receive(tokens: number): void {
    this.#received.receive(tokens);
  }

  /** Spends a received token; returns false if there is none. */
  trySpendReceived(): boolean {
    return this.#received.tryAcquire();
  }

  /** Spends a token of the part that this instance hands out. */
  spend(instance: string, part: RatePart): TokenGrant {
    const own = this.#applyPart(part);
    return this.#toGrant(own, instance, own.tryAcquire() ? 1 : 0);
  }

  /** Gives up tokens of the part that this instance hands out. */
  give(instance: string, part: RatePart, wanted: number): TokenGrant {
    const own = this.#applyPart(part);
    return this.#toGrant(own, instance, own.give(wanted));
  }

  #applyPart(part: RatePart): SharedRate {
    if (this.#own) this.#own.setPart(part);
    else this.#own = new SharedRate(part);
    return this.#own;
  }

  #toGrant(own: SharedRate, instance: string, given: number): TokenGrant {
    const remaining = Math.floor(own.tokens);
    if (given > 0) {
      this.#deniedAt.delete(instance);
      return { given, remaining, nextMilliseconds: 0 };
    }
    const rank = this.#rankOfDenied(instance);
    const nextMilliseconds = Math.min(
      LONGEST_RETRY_MILLISECONDS,
      Math.max(SHORTEST_RETRY_MILLISECONDS, own.secondsToTokens(rank) * MILLISECONDS_PER_SECOND),
    );
    return { given, remaining, nextMilliseconds: Math.ceil(nextMilliseconds) };
  }

  /** Returns the position of an instance among those that compete for the next tokens, from 1. */
  #rankOfDenied(instance: string): number {
    const now = performance.now();
    [...this.#deniedAt]
      .filter(([, deniedAt]) => now - deniedAt > COMPETITION_MILLISECONDS)
      .forEach(([name]) => this.#deniedAt.delete(name));
    if (!this.#deniedAt.has(instance)) this.#deniedAt.set(instance, now);
    return [...this.#deniedAt.keys()].indexOf(instance) + 1;
  }
}

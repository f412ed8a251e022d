import type { RatePart } from './ratePart';
import { ReleaseQueue } from './releaseQueue';

/** Time over which the demand at this instance is averaged, in seconds. */
const DEMAND_WINDOW_SECONDS = 1;

/**
 * Time for which an instance reserves tokens for its own demand before it gives any away, in
 * seconds: the duration of a few requests to peers.
 */
const OWN_DEMAND_RESERVE_SECONDS = 0.05;

/** Time within which a transferred token must be spent; the giver relies on it. */
const TRANSFERRED_TOKEN_LIFETIME_MILLISECONDS = 150;

/** Lifetime of tokens that are transferred before they are needed. */
const AHEAD_TOKEN_LIFETIME_MILLISECONDS = 1_000;

/**
 * Fractions of a part and of its bucket that are kept from transfers before tokens are needed, as
 * those that expire unspent are lost for a window.
 */
const KEPT_PART_FRACTION = 0.5;
const KEPT_BUCKET_FRACTION = 0.25;

/** Maximum transfer time of a token; longer than an instance waits for its peers. */
const MAXIMUM_TRANSFER_MILLISECONDS = 100;

/**
 * Bucket depth relative to the burst. With a deeper bucket, an organisation that sent a burst just
 * before all instances restarted would exceed its rate by more than the tolerated tenth: the worst
 * restart admits 1.09 windows at this depth, and 1.14 at 1.3.
 */
const BUCKET_DEPTH_RATIO = 1;

/** Number of steps in which an instance gets its tokens over the first window after its start. */
const START_STEPS = 50;

/** Half of the shortest restart time of a process; only half, as its last burst is unknown. */
const HALF_RESTART_MILLISECONDS = 250;

const MILLISECONDS_PER_SECOND = 1_000;

/**
 * One instance's part of an organisation's rate. Within any window the organisation may send the
 * tokens refilled over the window plus its burst, so a spent token becomes free again one window
 * later. A bucket limits how many tokens are spent at once, because the tokens that an instance
 * spent before a crash are unknown after its restart.
 *
 * If load reaches the instances unevenly, tokens are transferred between them. A transferred token
 * expires soon unless it is spent, and becomes free again at its giver one window after that, so
 * transfers never create tokens.
 */
export class SharedRate {
  #part: RatePart;

  /** Tokens of this part that were spent within the last window. */
  readonly #spent = new ReleaseQueue();

  /**
   * Tokens of this part that other instances received, and may have spent within the last window.
   */
  readonly #given = new ReleaseQueue();

  /** Tokens that other instances gave, until they expire. */
  readonly #received = new ReleaseQueue();

  /** Tokens that other instances gave before they were needed, until they expire. */
  readonly #receivedAhead = new ReleaseQueue();

  #bucketTokens = 0;

  #demandPerSecond = 0;

  #updatedAtMilliseconds = performance.now();

  constructor(part: RatePart) {
    this.#part = part;
    this.#assumeAllSpent();
  }

  /** Number of tokens that this instance may spend now. */
  get tokens(): number {
    this.#advance();
    return this.#ownTokens + this.#receivedTokens;
  }

  /** Recent demand at this instance, in requests per second. */
  get demandPerSecond(): number {
    this.#advance();
    return this.#demandPerSecond;
  }

  /** Time until a whole token is free, in seconds; infinite if none will be. */
  get secondsToNextToken(): number {
    return this.secondsToTokens(1);
  }

  /** Tokens of this part that were not spent within the last window. */
  get unspentTokens(): number {
    this.#advance();
    return Math.max(0, this.#windowTokens);
  }

  /** Unspent fraction of this instance's tokens of a window, from 0 to 1. */
  get unspentFraction(): number {
    return this.#partTokens === 0 ? 0 : this.unspentTokens / this.#partTokens;
  }

  /** Mean time between two tokens of this part, in seconds; infinite without a part. */
  get secondsPerToken(): number {
    return this.#refillPerSecond === 0 ? Infinity : 1 / this.#refillPerSecond;
  }

  /** Returns the time until the given number of tokens is free, in seconds. */
  secondsToTokens(tokens: number): number {
    const now = this.#advance();
    const missing = tokens - this.#receivedTokens;
    if (missing <= 0) return 0;
    const missingInWindow = missing - this.#windowTokens;
    const releasedAt =
      missingInWindow <= 0
        ? now
        : Math.min(
            this.#spent.getReleaseTime(missingInWindow) ?? Infinity,
            this.#given.getReleaseTime(missingInWindow) ?? Infinity,
          );
    const missingInBucket = missing - this.#bucketTokens;
    const inBucket = missingInBucket <= 0 ? 0 : missingInBucket / this.#refillPerSecond;
    return Math.max(0, (releasedAt - now) / MILLISECONDS_PER_SECOND, inBucket);
  }

  /** Applies another part. Tokens spent from the previous one, if any, still count. */
  setPart(part: RatePart): void {
    this.#advance();
    const isFirst = this.#part.holders === 0;
    this.#part = part;
    if (isFirst) this.#assumeAllSpent();
    this.#bucketTokens = Math.min(this.#bucketTokens, this.#depth);
  }

  /** Applies another part, of which an unknown number of tokens was spent elsewhere. */
  restart(part: RatePart): void {
    const isFirst = this.#part.holders === 0;
    this.setPart(part);
    if (!isFirst) this.#assumeAllSpent();
  }

  /** Counts a request for the demand average. */
  recordRequest(): void {
    this.#advance();
    this.#demandPerSecond += 1 / DEMAND_WINDOW_SECONDS;
  }

  /** Acquires a token for a request; returns false if none is available. */
  tryAcquire(): boolean {
    const now = this.#advance();
    if (this.#received.size > 0) {
      this.#received.cancel(1);
    } else if (this.#receivedAhead.size > 0) {
      this.#receivedAhead.cancel(1);
    } else if (this.#ownTokens >= 1) {
      this.#spent.add(1, now + this.#windowMilliseconds);
      this.#bucketTokens -= 1;
    } else {
      return false;
    }
    return true;
  }

  /** Returns a token whose request did not run. */
  returnToken(): void {
    this.#advance();
    this.#spent.cancel(1);
    this.#bucketTokens = Math.min(this.#depth, this.#bucketTokens + 1);
  }

  /** Adds tokens that another instance has just given up. */
  receive(tokens: number): void {
    this.#received.add(tokens, this.#advance() + TRANSFERRED_TOKEN_LIFETIME_MILLISECONDS);
  }

  /** Adds tokens that another instance has just given up before they are needed. */
  receiveAhead(tokens: number): void {
    this.#receivedAhead.add(tokens, this.#advance() + AHEAD_TOKEN_LIFETIME_MILLISECONDS);
  }

  /** Gives up whole tokens that this instance's own demand does not need; returns their number. */
  give(wanted: number): number {
    this.#advance();
    return this.#give(Math.min(wanted, this.#spareTokens), TRANSFERRED_TOKEN_LIFETIME_MILLISECONDS);
  }

  /** Gives up whole tokens before they are needed while most are unspent; returns their number. */
  giveAhead(wanted: number): number {
    this.#advance();
    const inWindow = this.#windowTokens - this.#partTokens * KEPT_PART_FRACTION;
    const inBucket = this.#bucketTokens - this.#depth * KEPT_BUCKET_FRACTION;
    const dispensable = Math.floor(Math.min(inWindow, inBucket, this.#spareTokens));
    return this.#give(Math.min(wanted, dispensable), AHEAD_TOKEN_LIFETIME_MILLISECONDS);
  }

  /** Whole tokens that this instance's own demand does not need. */
  get #spareTokens(): number {
    return Math.floor(this.#ownTokens - this.#demandPerSecond * OWN_DEMAND_RESERVE_SECONDS);
  }

  get #receivedTokens(): number {
    return this.#received.size + this.#receivedAhead.size;
  }

  #give(tokens: number, lifetimeMilliseconds: number): number {
    const given = Math.max(0, tokens);
    const expiresAt = performance.now() + MAXIMUM_TRANSFER_MILLISECONDS + lifetimeMilliseconds;
    this.#given.add(given, expiresAt + this.#windowMilliseconds);
    this.#bucketTokens -= given;
    return given;
  }

  /** Tokens of this part that may be spent within the limits of the window and the bucket. */
  get #ownTokens(): number {
    return Math.max(0, Math.min(this.#windowTokens, this.#bucketTokens));
  }

  get #windowTokens(): number {
    return this.#partTokens - this.#spent.size - this.#given.size;
  }

  /** Whole tokens of this part in a window; the parts of all holders add up to the total. */
  get #partTokens(): number {
    const { perSecond, burst, windowSeconds, rank, holders } = this.#part;
    const tokens = perSecond * windowSeconds + burst;
    if (holders === 0) return 0;
    return Math.floor((tokens * (rank + 1)) / holders) - Math.floor((tokens * rank) / holders);
  }

  get #windowMilliseconds(): number {
    return this.#part.windowSeconds * MILLISECONDS_PER_SECOND;
  }

  /** Tokens per second that can be spent continuously. */
  get #refillPerSecond(): number {
    return this.#partTokens / this.#part.windowSeconds;
  }

  get #depth(): number {
    const { burst, holders } = this.#part;
    return holders === 0 ? 0 : Math.max(1, (burst * BUCKET_DEPTH_RATIO) / holders);
  }

  /**
   * Assumes that all tokens were spent evenly up to the end of the previous process, because what
   * it spent is unknown after a restart.
   */
  #assumeAllSpent(): void {
    const count = this.#partTokens / START_STEPS;
    for (let step = 1; step <= START_STEPS; step += 1) {
      const releaseMilliseconds =
        (this.#windowMilliseconds * step) / START_STEPS - HALF_RESTART_MILLISECONDS;
      this.#spent.add(count, this.#updatedAtMilliseconds + Math.max(0, releaseMilliseconds));
    }
    this.#spent.release(this.#updatedAtMilliseconds);
    this.#bucketTokens = Math.min(this.#depth, this.#windowTokens);
  }

  /** Advances the state to the current time, and returns that time. */
  #advance(): number {
    const now = performance.now();
    const seconds = (now - this.#updatedAtMilliseconds) / MILLISECONDS_PER_SECOND;
    if (seconds <= 0) return now;
    this.#updatedAtMilliseconds = now;
    this.#spent.release(now);
    this.#given.release(now);
    this.#received.release(now);
    this.#receivedAhead.release(now);
    const decay = Math.exp(-seconds / DEMAND_WINDOW_SECONDS);
    this.#demandPerSecond *= decay;
    this.#bucketTokens = Math.min(
      this.#depth,
      this.#bucketTokens + this.#refillPerSecond * seconds,
    );
    return now;
  }
}

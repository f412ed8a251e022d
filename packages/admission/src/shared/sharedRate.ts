import type { RatePart } from './ratePart';
import { ReleaseQueue } from './releaseQueue';

/** Time over which the demand at this instance is averaged, in seconds. */
const DEMAND_WINDOW_SECONDS = 1;

/**
 * Time for which an instance keeps tokens for its own demand before it gives any away, in seconds:
 * that of a few questions among peers.
 */
const OWN_DEMAND_SECONDS = 0.05;

/** Time within which a moved token must be spent; its giver counts on that. */
const MOVED_TOKEN_MILLISECONDS = 150;

/** Time that a moved token may be on its way, longer than an instance waits for its peers. */
const MOVE_MILLISECONDS = 100;

/**
 * Depth of the bucket as a part of the burst. A deeper one would let an organisation that was served
 * a burst just before all instances restarted exceed its rate by more than the tenth that is
 * tolerated (1.09 of a window in the worst restart at this depth, 1.14 at 1.3).
 */
const BUCKET_DEPTH = 1;

/** Steps in which a started instance gets its tokens over the first window. */
const START_STEPS = 50;

/** Half of the time after which a process is back at the earliest, as its last burst is unknown. */
const RESTART_MILLISECONDS = 250;

const MILLISECONDS = 1_000;

/**
 * One instance's part of an organisation's rate. Within any window the organisation may send what
 * flows in over the window and its burst, so a spent token becomes free again one window later. A
 * bucket bounds how many of them are spent at once: what an instance spent before it died is
 * unknown after its restart.
 *
 * Answers a load that reaches the instances unevenly: tokens move between instances. A moved token
 * lapses soon where it isn't spent, and is back at its giver one window after that, so tokens are
 * never made.
 */
export class SharedRate {
  #part: RatePart;

  /** Tokens of this part that were spent within the last window. */
  readonly #spent = new ReleaseQueue();

  /** Tokens of this part that others got, and may have spent within the last window. */
  readonly #given = new ReleaseQueue();

  /** Tokens that other instances gave, until they lapse. */
  readonly #received = new ReleaseQueue();

  #bucketTokens = 0;

  #demandPerSecond = 0;

  #updatedAtMilliseconds = performance.now();

  constructor(part: RatePart) {
    this.#part = part;
    this.#spendAll();
  }

  /** Tokens that this instance may spend now. */
  get tokens(): number {
    this.#advance();
    return this.#ownTokens + this.#received.size;
  }

  /** Requests a second that came lately. */
  get demandPerSecond(): number {
    this.#advance();
    return this.#demandPerSecond;
  }

  /** Time until a whole token is free, in seconds; infinite where none will be. */
  get secondsToNextToken(): number {
    return this.secondsToTokens(1);
  }

  /** Tokens of this part that were not spent within the last window. */
  get unspentTokens(): number {
    this.#advance();
    return Math.max(0, this.#windowTokens);
  }

  /** Part of this instance's tokens of a window that is not spent, from 0 to 1. */
  get unspentPart(): number {
    return this.#partTokens === 0 ? 0 : this.unspentTokens / this.#partTokens;
  }

  /** Time until this many tokens are free, in seconds. */
  secondsToTokens(tokens: number): number {
    const now = this.#advance();
    const missing = tokens - this.#received.size;
    if (missing <= 0) return 0;
    const missingInWindow = missing - this.#windowTokens;
    const releasedAt =
      missingInWindow <= 0 ? now : (this.#spent.timeOfRelease(missingInWindow) ?? Infinity);
    const missingInBucket = missing - this.#bucketTokens;
    const inBucket = missingInBucket <= 0 ? 0 : missingInBucket / this.#flow;
    return Math.max(0, (releasedAt - now) / MILLISECONDS, inBucket);
  }

  /** Puts another part in force. What was spent of the former one, if any, counts on. */
  setPart(part: RatePart): void {
    this.#advance();
    const isFirst = this.#part.holders === 0;
    this.#part = part;
    if (isFirst) this.#spendAll();
    this.#bucketTokens = Math.min(this.#bucketTokens, this.#depth);
  }

  /** Notes a request. */
  noteDemand(): void {
    this.#advance();
    this.#demandPerSecond += 1 / DEMAND_WINDOW_SECONDS;
  }

  /** Takes a token for a request; returns whether there was one. */
  take(): boolean {
    const now = this.#advance();
    if (this.#received.size > 0) {
      this.#received.cancel(1);
    } else if (this.#ownTokens >= 1) {
      this.#spent.add(1, now + this.#windowMilliseconds);
      this.#bucketTokens -= 1;
    } else {
      return false;
    }
    return true;
  }

  /** Puts a token back whose request never ran. */
  putBack(): void {
    this.#advance();
    this.#spent.cancel(1);
    this.#bucketTokens = Math.min(this.#depth, this.#bucketTokens + 1);
  }

  /** Adds tokens that another instance gave up just now. */
  receive(tokens: number): void {
    this.#received.add(tokens, this.#advance() + MOVED_TOKEN_MILLISECONDS);
  }

  /** Gives whole tokens up for another instance, beyond what the own demand needs. */
  give(wanted: number): number {
    const now = this.#advance();
    const spare = Math.floor(this.#ownTokens - this.#demandPerSecond * OWN_DEMAND_SECONDS);
    const given = Math.max(0, Math.min(wanted, spare));
    const lapsesAt = now + MOVE_MILLISECONDS + MOVED_TOKEN_MILLISECONDS;
    this.#given.add(given, lapsesAt + this.#windowMilliseconds);
    this.#bucketTokens -= given;
    return given;
  }

  /** Whole tokens of this part that the window and the bucket allow to spend. */
  get #ownTokens(): number {
    return Math.max(0, Math.min(this.#windowTokens, this.#bucketTokens));
  }

  get #windowTokens(): number {
    return this.#partTokens - this.#spent.size - this.#given.size;
  }

  /** Whole tokens of this part in a window; the parts of all holders sum up to the whole. */
  get #partTokens(): number {
    const { perSecond, burst, windowSeconds, rank, holders } = this.#part;
    const tokens = perSecond * windowSeconds + burst;
    if (holders === 0) return 0;
    return Math.floor((tokens * (rank + 1)) / holders) - Math.floor((tokens * rank) / holders);
  }

  get #windowMilliseconds(): number {
    return this.#part.windowSeconds * MILLISECONDS;
  }

  /** Tokens a second that can be spent for good. */
  get #flow(): number {
    return this.#partTokens / this.#part.windowSeconds;
  }

  get #depth(): number {
    const { burst, holders } = this.#part;
    return holders === 0 ? 0 : Math.max(1, (burst * BUCKET_DEPTH) / holders);
  }

  /**
   * A started instance doesn't know what it spent before, and takes all for spent evenly up to the
   * end of the process before.
   */
  #spendAll(): void {
    const count = this.#partTokens / START_STEPS;
    for (let step = 1; step <= START_STEPS; step += 1) {
      const age = (this.#windowMilliseconds * step) / START_STEPS - RESTART_MILLISECONDS;
      this.#spent.add(count, this.#updatedAtMilliseconds + Math.max(0, age));
    }
    this.#spent.release(this.#updatedAtMilliseconds);
    this.#bucketTokens = Math.min(this.#depth, this.#windowTokens);
  }

  /** Brings all up to now, and returns that time. */
  #advance(): number {
    const now = performance.now();
    const seconds = (now - this.#updatedAtMilliseconds) / MILLISECONDS;
    if (seconds <= 0) return now;
    this.#updatedAtMilliseconds = now;
    this.#spent.release(now);
    this.#given.release(now);
    this.#received.release(now);
    const decay = Math.exp(-seconds / DEMAND_WINDOW_SECONDS);
    this.#demandPerSecond *= decay;
    this.#bucketTokens = Math.min(this.#depth, this.#bucketTokens + this.#flow * seconds);
    return now;
  }
}

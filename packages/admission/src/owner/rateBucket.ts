import type { Rate } from '@limpetnotch/declarations';

const MILLISECONDS_PER_SECOND = 1_000;

interface LentSlice {
  readonly entry: string;
  readonly grant: number;
  readonly expiresMilliseconds: number;
  tokens: number;
}

/** A grant to record in a {@link RateBucket}. */
export interface Loan {
  readonly entry: string;
  readonly grant: number;
  readonly tokens: number;
  readonly expiresMilliseconds: number;
}

/**
 * Token bucket whose tokens are lent before they are used. A lent token may be used at any time
 * until its slice expires, so it is deducted from the level only then, or once the entry reports it
 * as used; the tokens available for lending are the level minus the lent tokens. The level, and so
 * the number of tokens that can still be used, never exceeds the burst: whatever the entries do, no
 * time window sees more than rate times window plus burst. Times are milliseconds of a monotonic
 * clock.
 */
export class RateBucket {
  readonly #slices: LentSlice[] = [];

  #rate: Rate;

  #level: number;

  #updatedMilliseconds: number;

  #lent = 0;

  constructor(rate: Rate, level: number, nowMilliseconds: number) {
    this.#rate = rate;
    this.#level = Math.min(level, rate.burst);
    this.#updatedMilliseconds = nowMilliseconds;
  }

  /** Advances to the given time: refills, and deducts the tokens of expired slices. */
  advance(nowMilliseconds: number): void {
    while (this.#slices[0] && this.#slices[0].expiresMilliseconds <= nowMilliseconds) {
      const { expiresMilliseconds, tokens } = this.#slices[0];
      this.#refill(expiresMilliseconds);
      this.#spend(tokens);
      this.#slices.shift();
    }
    this.#refill(nowMilliseconds);
  }

  /** Changes the rate. A higher burst is filled over time, not granted immediately. */
  changeRate(rate: Rate): void {
    this.#rate = rate;
    this.#level = Math.min(this.#level, rate.burst);
  }

  /** Returns the number of whole tokens that may be lent now. */
  available(): number {
    return Math.max(0, Math.floor(this.#level - this.#lent));
  }

  /**
   * Records a loan of at most the available tokens. Slices must expire in the order of their loans.
   */
  lend(loan: Loan): void {
    this.#slices.push({ ...loan });
    this.#lent += loan.tokens;
  }

  /**
   * Counts the grants of an entry up to `lastGrant` as used, except for `held` tokens. An unknown
   * grant (expired, or from another owner) settles nothing.
   */
  settle(entry: string, lastGrant: number, held: number): void {
    const lastIndex = this.#slices.findIndex(
      (slice) => slice.entry === entry && slice.grant === lastGrant,
    );
    const covered = this.#slices.slice(0, lastIndex + 1).filter((slice) => slice.entry === entry);
    let used = covered.reduce((sum, slice) => sum + slice.tokens, 0) - held;
    for (const slice of covered) {
      const spent = Math.max(0, Math.min(used, slice.tokens));
      used -= spent;
      slice.tokens -= spent;
      this.#spend(spent);
    }
    this.#removeEmpty(lastIndex);
  }

  /**
   * Returns the time until the tokens may be lent if no entry reports use before its slices expire.
   */
  millisecondsUntil(tokens: number): number {
    const perMillisecond = this.#rate.requestsPerSecond / MILLISECONDS_PER_SECOND;
    let missing = tokens - (this.#level - this.#lent);
    let level = this.#level;
    let time = this.#updatedMilliseconds;
    for (const slice of this.#slices) {
      const gain = Math.min(
        this.#rate.burst - level,
        perMillisecond * (slice.expiresMilliseconds - time),
      );
      if (gain >= missing) break;
      missing -= gain;
      level += gain - slice.tokens;
      time = slice.expiresMilliseconds;
    }
    return Math.max(0, time + missing / perMillisecond - this.#updatedMilliseconds);
  }

  /** Whether nothing is lent and the bucket is full, so that it can be removed. */
  isFull(): boolean {
    return this.#slices.length === 0 && this.#level >= this.#rate.burst;
  }

  /** Whether the invariants hold: no negative lent tokens, and a level of at most the burst. */
  isValid(): boolean {
    return this.#lent >= 0 && this.#level <= this.#rate.burst;
  }

  #refill(untilMilliseconds: number): void {
    const elapsed = untilMilliseconds - this.#updatedMilliseconds;
    if (elapsed <= 0) return;
    const gained = (elapsed * this.#rate.requestsPerSecond) / MILLISECONDS_PER_SECOND;
    this.#level = Math.min(this.#rate.burst, this.#level + gained);
    this.#updatedMilliseconds = untilMilliseconds;
  }

  #spend(tokens: number): void {
    this.#level -= tokens;
    this.#lent -= tokens;
  }

  #removeEmpty(lastIndex: number): void {
    for (let index = lastIndex; index >= 0; index -= 1) {
      if (this.#slices[index]?.tokens === 0) this.#slices.splice(index, 1);
    }
  }
}

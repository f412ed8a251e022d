/** Part of an organisation's rate that one instance holds. */
export interface RatePart {
  /** Requests a second of the organisation over all instances. */
  readonly perSecond: number;
  /** Requests that the organisation may send at once over all instances. */
  readonly burst: number;
  /** This instance's part, from 0 to 1; the parts of all instances sum up to 1 at most. */
  readonly share: number;
}

/** Time over which the demand at this instance is averaged, in seconds. */
const DEMAND_WINDOW_SECONDS = 1;

/** Time for which an instance keeps tokens for its own demand before it gives any away, in seconds. */
const OWN_DEMAND_SECONDS = 0.5;

/**
 * Part of the bucket that a started instance begins with. A restart forgets what was spent before,
 * so that a full bucket would let an organisation exceed its rate; half of one flowed in at least
 * while the process was down.
 */
const STARTING_LEVEL = 0.5;

/**
 * Level of the bucket below which no program may begin. A program needs a dozen requests or more,
 * and one that is refused midway has wasted all before it.
 */
const PROGRAM_LEVEL = 0.5;

/** Part of the flow that the programs under way may use while another one begins. */
const PROGRAM_FLOW = 0.8;

/** Level of the bucket at which tokens would soon be lost, so that a program may begin anyway. */
const FULL_LEVEL = 0.9;

const MILLISECONDS = 1_000;

/**
 * Token bucket over one instance's part of an organisation's rate. Answers a load that reaches the
 * instances unevenly: tokens move between instances, and are never made by a move.
 */
export class SharedRate {
  #part: RatePart;

  #tokens: number;

  #demandPerSecond = 0;

  #servedPerSecond = 0;

  #updatedAtMilliseconds = performance.now();

  constructor(part: RatePart) {
    this.#part = part;
    this.#tokens = this.#depth * STARTING_LEVEL;
  }

  /** Tokens that this instance may spend now. */
  get tokens(): number {
    this.#advance();
    return this.#tokens;
  }

  /** Requests a second that came lately. */
  get demandPerSecond(): number {
    this.#advance();
    return this.#demandPerSecond;
  }

  /** Time until the bucket holds a whole token, in seconds; infinite where nothing flows in. */
  get secondsToNextToken(): number {
    return this.secondsToTokens(1);
  }

  /**
   * Whether a whole program may begin. Tokens are kept for the programs that have begun, and where
   * these use most of what flows in already, another one would only take from them.
   */
  get hasRoomForProgram(): boolean {
    if (this.tokens < this.#programLevel) return false;
    return this.#servedPerSecond <= this.#flow * PROGRAM_FLOW || this.tokens >= this.#fullLevel;
  }

  /** Time until a program may begin, in seconds, if nothing else is taken. */
  get secondsToRoomForProgram(): number {
    return this.secondsToTokens(this.#programLevel);
  }

  /** Time until the bucket holds this many tokens, in seconds. */
  secondsToTokens(tokens: number): number {
    const missing = tokens - this.tokens;
    return missing <= 0 ? 0 : missing / this.#flow;
  }

  /** Puts another part in force; what is held beyond it is dropped. */
  setPart(part: RatePart): void {
    this.#advance();
    this.#part = part;
    this.#tokens = Math.min(this.#tokens, this.#depth);
  }

  /** Notes a request. */
  noteDemand(): void {
    this.#advance();
    this.#demandPerSecond += 1 / DEMAND_WINDOW_SECONDS;
  }

  /** Takes a token for a request; returns whether there was one. */
  take(): boolean {
    this.#advance();
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    this.#servedPerSecond += 1 / DEMAND_WINDOW_SECONDS;
    return true;
  }

  /** Adds tokens that another instance gave up, or that were taken in vain. */
  receive(tokens: number): void {
    this.#advance();
    this.#tokens = Math.min(Math.max(this.#depth, 1), this.#tokens + tokens);
  }

  /** Gives whole tokens up for another instance, beyond what the own demand needs. */
  give(wanted: number): number {
    this.#advance();
    const spare = Math.floor(this.#tokens - this.#demandPerSecond * OWN_DEMAND_SECONDS);
    const given = Math.max(0, Math.min(wanted, spare));
    this.#tokens -= given;
    return given;
  }

  /** Tokens to ask other instances for: the demand of a short time, as far as there is room. */
  get wanted(): number {
    this.#advance();
    const room = Math.max(this.#depth, 1) - this.#tokens;
    const needed = Math.max(1, this.#demandPerSecond * OWN_DEMAND_SECONDS);
    return Math.max(1, Math.floor(Math.min(room, needed)));
  }

  get #programLevel(): number {
    return Math.max(1, this.#depth * PROGRAM_LEVEL);
  }

  get #fullLevel(): number {
    return Math.max(1, this.#depth * FULL_LEVEL);
  }

  get #flow(): number {
    return this.#part.perSecond * this.#part.share;
  }

  get #depth(): number {
    return this.#part.burst * this.#part.share;
  }

  #advance(): void {
    const now = performance.now();
    const seconds = (now - this.#updatedAtMilliseconds) / MILLISECONDS;
    if (seconds <= 0) return;
    this.#updatedAtMilliseconds = now;
    const decay = Math.exp(-seconds / DEMAND_WINDOW_SECONDS);
    this.#demandPerSecond *= decay;
    this.#servedPerSecond *= decay;
    if (this.#tokens >= this.#depth) return;
    this.#tokens = Math.min(this.#depth, this.#tokens + this.#flow * seconds);
  }
}

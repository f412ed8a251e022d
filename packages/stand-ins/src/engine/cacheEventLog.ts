import { SeededRandom } from '../util/seededRandom';

const KEPT_EVENTS = 20_000;

/** One published change of the prefix cache. */
export interface CacheChange {
  readonly sequence: number;
  readonly change: 'stored' | 'evicted';
  readonly digests: readonly string[];
}

interface LoggedChange {
  readonly event: CacheChange;
  readonly at: number;
}

/** Events of the prefix cache, published with a delay and with losses. */
export class CacheEventLog {
  readonly #random: SeededRandom;

  #logged: LoggedChange[] = [];

  #sequence = 0;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
  }

  /** Adds a change; a lost change consumes a sequence number but is never published. */
  add(change: CacheChange['change'], digests: readonly string[], lossRatio: number): void {
    if (digests.length === 0) return;
    this.#sequence += 1;
    if (this.#random.chance(lossRatio)) return;
    this.#logged.push({ event: { sequence: this.#sequence, change, digests }, at: Date.now() });
    if (this.#logged.length > 2 * KEPT_EVENTS) this.#logged = this.#logged.slice(-KEPT_EVENTS);
  }

  /** Returns the events after a sequence number that are older than the publishing delay. */
  eventsAfter(sequence: number, delayMilliseconds: number): readonly CacheChange[] {
    const latest = Date.now() - delayMilliseconds;
    return this.#logged
      .filter(({ event, at }) => event.sequence > sequence && at <= latest)
      .map(({ event }) => event);
  }
}

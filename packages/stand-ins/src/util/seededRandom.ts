import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Number of discarded draws: the first draws of small seeds are alike. */
const DISCARDED_DRAWS = 64;

/** Random number generator that returns the same draws for the same seed. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let draw = 0; draw < DISCARDED_DRAWS; draw += 1) this.#generator.next();
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  fraction(): number {
    return uniformFloat64(this.#generator);
  }

  /** Returns an integer between two inclusive bounds. */
  integer(lowest: number, highest: number): number {
    return uniformInt(this.#generator, lowest, highest);
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.fraction() < probability;
  }

  /** Returns one of the items, each with equal probability. Throws if there is none. */
  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.integer(0, items.length - 1)];
    if (item === undefined) throw new RangeError('cannot pick from an empty list');
    return item;
  }

  /** Returns the index of a weight, drawn with a probability proportional to the weight. */
  pickWeighted(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let remaining = this.fraction() * total;
    const index = weights.findIndex((weight) => {
      remaining -= weight;
      return remaining < 0;
    });
    return index < 0 ? weights.length - 1 : index;
  }

  /** Returns a draw from the exponential distribution with the given mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.fraction()) * mean;
  }
}

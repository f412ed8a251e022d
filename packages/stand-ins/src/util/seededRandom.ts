import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

/** Draws that are dropped, as the first ones after a small seed are alike. */
const DROPPED_DRAWS = 64;

/** Random draws that are the same for the same seed. */
export class SeededRandom {
  readonly #generator: RandomGenerator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    for (let draw = 0; draw < DROPPED_DRAWS; draw += 1) this.#generator.next();
  }

  /** Returns a number from 0 up to, but without, 1. */
  fraction(): number {
    return uniformFloat64(this.#generator);
  }

  /** Returns an integer between two bounds, both included. */
  integer(lowest: number, highest: number): number {
    return uniformInt(this.#generator, lowest, highest);
  }

  /** Returns true with a probability. */
  chance(probability: number): boolean {
    return this.fraction() < probability;
  }

  /** Returns one of the items, each with the same probability. */
  pick<Item>(items: readonly Item[]): Item {
    const item = items[this.integer(0, items.length - 1)];
    if (item === undefined) throw new RangeError('there is nothing to pick from');
    return item;
  }

  /** Returns the index of one of the weights, in proportion to them. */
  pickWeighted(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let left = this.fraction() * total;
    const index = weights.findIndex((weight) => {
      left -= weight;
      return left < 0;
    });
    return index < 0 ? weights.length - 1 : index;
  }

  /** Returns a draw of the exponential distribution with a mean. */
  exponential(mean: number): number {
    return -Math.log(1 - this.fraction()) * mean;
  }
}

import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Range } from './userProfile';

const DISCARDED_VALUES = 64;

/** Seeded source of random values. */
export class RandomSource {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
    // The first values of adjacent seeds are correlated.
    for (let value = 0; value < DISCARDED_VALUES; value += 1) this.uniform();
  }

  /** Returns a value from 0 (inclusive) to 1 (exclusive). */
  uniform(): number {
    return uniformFloat64(this.#generator);
  }

  /** Returns an integer in a range, both ends included. */
  integer({ least, most }: Range): number {
    return least + Math.floor(this.uniform() * (most - least + 1));
  }

  /** Returns an exponentially distributed value. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Returns a lognormally distributed value. */
  lognormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.uniform()));
  }

  /** Returns a random item, weighted by share. */
  pick<Item extends { readonly share: number }>(items: readonly Item[]): Item {
    const total = items.reduce((sum, { share }) => sum + share, 0);
    let left = this.uniform() * total;
    const found = items.find(({ share }) => {
      left -= share;
      return left < 0;
    });
    const item = found ?? items[items.length - 1];
    if (!item) throw new Error('cannot pick from an empty list');
    return item;
  }
}

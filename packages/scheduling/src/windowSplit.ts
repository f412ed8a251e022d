import { createHash } from 'node:crypto';

const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

const hashName = (name: string): number =>
  createHash('sha256').update(name).digest().readUInt32LE(0);

/** Mixes two hashes into one, by the finalizer of MurmurHash3. */
const mixHashes = (left: number, right: number): number => {
  let mixed = left ^ Math.imul(right, MIX_FIRST);
  mixed = Math.imul(mixed ^ (mixed >>> 16), MIX_FIRST);
  mixed = Math.imul(mixed ^ (mixed >>> 13), MIX_SECOND);
  return (mixed ^ (mixed >>> 16)) >>> 0;
};

interface FleetMember {
  readonly name: string;
  readonly hash: number;
}

/**
 * Splits the window of each target among the instances, with no message between them.
 *
 * Each instance gets the whole part of `window / instances`; what remains goes, one slot each, to
 * the instances that rendezvous hashing ranks first for the target. Over one list of instances the
 * shares of a target sum up to its window exactly. Where a window is smaller than the fleet, some
 * instances get no share of that target and use others: each instance then sees a subset.
 */
export class WindowSplit {
  readonly #instance: string;

  #fleet: readonly FleetMember[];

  constructor(instance: string, instances: readonly string[] = [instance]) {
    this.#instance = instance;
    this.#fleet = WindowSplit.#members(instance, instances);
  }

  /** Number of instances that share the windows. */
  get size(): number {
    return this.#fleet.length;
  }

  /** Sets the instances; this one counts also where it is not listed. */
  setFleet(instances: readonly string[]): void {
    this.#fleet = WindowSplit.#members(this.#instance, instances);
  }

  /** Returns this instance's part of a target's window; it may be 0. */
  share(target: string, window: number): number {
    const whole = Math.floor(window / this.#fleet.length);
    const remainder = window % this.#fleet.length;
    return remainder > this.rank(target) ? whole + 1 : whole;
  }

  /** Returns this instance's place in the target's order of instances, from 0. */
  rank(target: string): number {
    const targetHash = hashName(target);
    const own = mixHashes(targetHash, hashName(this.#instance));
    return this.#fleet.filter(({ name, hash }) => {
      const other = mixHashes(targetHash, hash);
      return other > own || (other === own && name > this.#instance);
    }).length;
  }

  static #members(instance: string, instances: readonly string[]): readonly FleetMember[] {
    const names = [...new Set([...instances, instance])];
    return names.map((name) => ({ name, hash: hashName(name) }));
  }
}

import { createHash } from 'node:crypto';

const MIX_FIRST = 0x85ebca6b;
const MIX_SECOND = 0xc2b2ae35;

const hashName = (name: string): number =>
  createHash('sha256').update(name).digest().readUInt32LE(0);

/** Mixes two hashes into one with the finalizer of MurmurHash3. */
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
 * Splits the window of each target among the instances, without communication between them.
 *
 * Each instance gets the integer part of `window / instances`. The remaining slots go, one each, to
 * the instances that rendezvous hashing ranks first for the target. For the same list of instances,
 * the shares of a target add up to exactly its window. If a window is smaller than the fleet, some
 * instances get no share of that target and use others, so each instance uses a subset of targets.
 */
export class WindowSplit {
  readonly #instance: string;

  #fleet: readonly FleetMember[];

  constructor(instance: string, instances: readonly string[] = [instance]) {
    this.#instance = instance;
    this.#fleet = WindowSplit.#toMembers(instance, instances);
  }

  /** Number of instances that share the windows. */
  get size(): number {
    return this.#fleet.length;
  }

  /** Sets the instances; this one is included even if it is not listed. */
  setFleet(instances: readonly string[]): void {
    this.#fleet = WindowSplit.#toMembers(this.#instance, instances);
  }

  /** Returns this instance's share of a target's window, which may be 0. */
  share(target: string, window: number): number {
    const baseShare = Math.floor(window / this.#fleet.length);
    const remainder = window % this.#fleet.length;
    return remainder > this.rank(target) ? baseShare + 1 : baseShare;
  }

  /** Returns this instance's rank in the target's order of instances, from 0. */
  rank(target: string): number {
    const targetHash = hashName(target);
    const own = mixHashes(targetHash, hashName(this.#instance));
    return this.#fleet.filter(({ name, hash }) => {
      const other = mixHashes(targetHash, hash);
      return other > own || (other === own && name > this.#instance);
    }).length;
  }

  static #toMembers(instance: string, instances: readonly string[]): readonly FleetMember[] {
    const names = [...new Set([...instances, instance])];
    return names.map((name) => ({ name, hash: hashName(name) }));
  }
}

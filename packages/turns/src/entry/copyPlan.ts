import type { StorageInstance } from '../decisions/storageInstance';

/** Number of copies that a turn needs, and of availability zones that hold them. */
export interface CopyRequirement {
  readonly copies: number;
  readonly availabilityZones: number;
}

/** What is to be done for a turn that is being stored. */
export type CopyStep =
  | { readonly kind: 'stored' }
  /** Send the turn to these instances as well. */
  | { readonly kind: 'send'; readonly instances: readonly StorageInstance[] }
  | { readonly kind: 'wait' }
  /** Too few instances are left. */
  | { readonly kind: 'failed' };

/**
 * Decides which storage instances a turn is sent to: the first ones of the ranking, and for each
 * that fails or is slow the next one. The turn is stored once enough instances in enough zones have
 * acknowledged it; a late acknowledgement of a slow instance counts too.
 */
export class CopyPlan {
  readonly #requirement: CopyRequirement;

  readonly #ranking: StorageInstance[];

  readonly #pending = new Map<string, StorageInstance>();

  readonly #slow = new Map<string, StorageInstance>();

  readonly #stored: StorageInstance[] = [];

  constructor(ranking: readonly StorageInstance[], requirement: CopyRequirement) {
    this.#ranking = [...ranking];
    this.#requirement = requirement;
  }

  /** Names of the instances that have acknowledged the turn. */
  get storedAt(): readonly string[] {
    return this.#stored.map(({ name }) => name);
  }

  /** Records that an instance acknowledged the turn. */
  recordStored(instance: StorageInstance): void {
    this.#pending.delete(instance.name);
    this.#slow.delete(instance.name);
    this.#stored.push(instance);
  }

  /** Records that an instance did not store the turn. */
  recordFailed(instance: StorageInstance): void {
    this.#pending.delete(instance.name);
    this.#slow.delete(instance.name);
  }

  /** Records that an instance has not responded for so long that another one is asked too. */
  recordSlow(instance: StorageInstance): void {
    if (!this.#pending.delete(instance.name)) return;
    this.#slow.set(instance.name, instance);
  }

  /** Returns the next step; instances that it names count as asked. */
  next(): CopyStep {
    if (this.#isSatisfiedBy(this.#stored)) return { kind: 'stored' };
    const chosen: StorageInstance[] = [];
    while (!this.#isSatisfiedBy([...this.#stored, ...this.#pending.values()])) {
      const candidate = this.#takeCandidate();
      if (!candidate) break;
      chosen.push(candidate);
      this.#pending.set(candidate.name, candidate);
    }
    if (chosen.length > 0) return { kind: 'send', instances: chosen };
    const possible = [...this.#stored, ...this.#pending.values(), ...this.#slow.values()];
    return this.#isSatisfiedBy(possible) ? { kind: 'wait' } : { kind: 'failed' };
  }

  /** Takes the best candidate; one of a further zone if only zones are missing. */
  #takeCandidate(): StorageInstance | undefined {
    const asked = [...this.#stored, ...this.#pending.values()];
    const zones = new Set(asked.map(({ availabilityZone }) => availabilityZone));
    const isCountReached = asked.length >= this.#requirement.copies;
    const index = isCountReached
      ? this.#ranking.findIndex(({ availabilityZone }) => !zones.has(availabilityZone))
      : 0;
    return index < 0 ? undefined : this.#ranking.splice(index, 1)[0];
  }

  #isSatisfiedBy(instances: readonly StorageInstance[]): boolean {
    const { copies, availabilityZones } = this.#requirement;
    const zones = new Set(instances.map(({ availabilityZone }) => availabilityZone));
    return instances.length >= copies && zones.size >= availabilityZones;
  }
}

import { chooseHolders } from '../decisions/chooseHolders';
import type { ProgramKey } from '../decisions/programKey';
import type { StorageInstance } from '../decisions/storageInstance';
import type { ToleratedLosses } from '../decisions/toleratedLosses';

/** Programs whose holders are remembered; ranking them costs a hash for each instance. */
const MAXIMUM_PROGRAMS = 20_000;

/** Remembers the holders of programs for one list of instances. */
export class HolderTable<Instance extends StorageInstance = StorageInstance> {
  readonly #instances: readonly Instance[];

  readonly #toleratedLosses: ToleratedLosses;

  readonly #holders = new Map<string, readonly Instance[]>();

  constructor(instances: readonly Instance[], toleratedLosses: ToleratedLosses) {
    this.#instances = instances;
    this.#toleratedLosses = toleratedLosses;
  }

  /** Returns the instances that should hold the turns of a program. */
  getHolders({ organisation, program }: ProgramKey): readonly Instance[] {
    const key = JSON.stringify([organisation, program]);
    const known = this.#holders.get(key);
    if (known) return known;
    const holders = chooseHolders(
      { organisation, program },
      this.#instances,
      this.#toleratedLosses,
    );
    if (this.#holders.size >= MAXIMUM_PROGRAMS) this.#holders.clear();
    this.#holders.set(key, holders);
    return holders;
  }

  isHolder(name: string, key: ProgramKey): boolean {
    return this.getHolders(key).some((holder) => holder.name === name);
  }
}

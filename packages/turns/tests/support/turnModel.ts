import type {
  chooseHolders,
  isRetired,
  judgeAbsence,
  StorageInstance,
  ToleratedLosses,
} from '../../src';
import type { isRepairConclusive } from '../../src/decisions/isRepairConclusive';
import type { mayForgetAbsence } from '../../src/decisions/mayForgetAbsence';

/** The decisions that a model uses. */
export interface ModelDecisions {
  readonly chooseHolders: typeof chooseHolders;
  readonly isRetired: typeof isRetired;
  readonly judgeAbsence: typeof judgeAbsence;
  readonly isRepairConclusive: typeof isRepairConclusive;
  readonly mayForgetAbsence: typeof mayForgetAbsence;
}

/** One storage instance of a model, with its disk, its process and its entries in the store. */
export interface ModelInstance {
  /** Whether the machine was ever started. */
  readonly isUsed: boolean;
  /** Whether the machine was removed with its disk. */
  readonly isRemoved: boolean;
  readonly hasTurn: boolean;
  readonly hasMarker: boolean;
  readonly isUp: boolean;
  /** Whether the presence entry is that of the process that is up. */
  readonly isRegistered: boolean;
  readonly hasLost: boolean;
  readonly hasRepaired: boolean;
  readonly isMember: boolean;
  /** Whether the presence entry exists, also of a process that has ended. */
  readonly isListed: boolean;
  readonly listedLost: boolean;
  /** Positions of the absent instances without which the listed process has repaired. */
  readonly repairedWithout: readonly number[];
  /** Listed instances when that repair ended. */
  readonly repairedAmong: string;
  readonly isRetiring: boolean;
}

/** State of a model: the instances, and whether the only turn was answered completely. */
export interface ModelState {
  readonly instances: readonly ModelInstance[];
  readonly isAcknowledged: boolean;
}

/** A state that follows another one, and the name of the step. */
export interface ModelStep {
  readonly name: string;
  readonly state: ModelState;
}

/** Options of a {@link TurnModel}. */
export interface TurnModelOptions {
  readonly decisions: ModelDecisions;
  readonly toleratedLosses: ToleratedLosses;
  /** Availability zone of each instance. */
  readonly availabilityZones: readonly string[];
  /** Instances that run at first; the others may be added. */
  readonly initial: number;
  /** Program of the turn, which determines the ranking. */
  readonly program: string;
}

type HolderCandidate = Pick<StorageInstance, 'name' | 'availabilityZone' | 'state'>;

const describeCandidates = (candidates: readonly HolderCandidate[]): string =>
  candidates.map(({ name, state }) => `${name}${state[0]}`).join('');

const UNUSED: ModelInstance = {
  isUsed: false,
  isRemoved: false,
  hasTurn: false,
  hasMarker: false,
  isUp: false,
  isRegistered: false,
  hasLost: false,
  hasRepaired: false,
  isMember: false,
  isListed: false,
  listedLost: false,
  repairedWithout: [],
  repairedAmong: '',
  isRetiring: false,
};

const INITIAL: ModelInstance = {
  ...UNUSED,
  isUsed: true,
  hasMarker: true,
  isUp: true,
  isRegistered: true,
  hasRepaired: true,
  isMember: true,
  isListed: true,
};

const DOWN = { isUp: false, isRegistered: false, hasLost: false, hasRepaired: false };

/**
 * Storage instances and one turn, with the real decisions. Each step is atomic; any instance may be
 * silent to a reader. Disks are lost only as far as tolerated: an instance counts as lost until a
 * repair that it took for conclusive.
 */
export class TurnModel {
  readonly #options: TurnModelOptions;

  readonly #copies: number;

  readonly #holders = new Map<string, readonly string[]>();

  constructor(options: TurnModelOptions) {
    this.#options = options;
    const { instances, availabilityZones } = options.toleratedLosses;
    this.#copies = Math.max(instances, availabilityZones) + 1;
  }

  /** Returns the state at the start, with the turn on some instances. */
  createState(holding: readonly number[]): ModelState {
    const instances = this.#options.availabilityZones.map((_zone, position) =>
      position < this.#options.initial
        ? { ...INITIAL, hasTurn: holding.includes(position) }
        : UNUSED,
    );
    return { instances, isAcknowledged: holding.length >= this.#copies };
  }

  /** Returns the broken rule of a state; `undefined` if there is none. */
  findViolation({ instances, isAcknowledged }: ModelState): string | undefined {
    if (!isAcknowledged) return undefined;
    if (!instances.some(({ hasTurn }) => hasTurn)) return 'the turn was lost';
    const known = instances.flatMap(({ isListed }, position) => (isListed ? [position] : []));
    const answers = known
      .filter((position) => instances[position]!.isUp && !instances[position]!.hasTurn)
      .map((position) => ({
        instance: String(position),
        isWhole: this.#isWhole(instances, position),
      }));
    const { decisions, toleratedLosses } = this.#options;
    const names = known.map(String);
    const verdict = decisions.judgeAbsence({ known: names, answers, toleratedLosses });
    return verdict === 'absent' ? 'the turn was taken for absent' : undefined;
  }

  /** Returns all states that may follow. */
  listSteps(state: ModelState): readonly ModelStep[] {
    const steps: ModelStep[] = this.#listWrites(state);
    state.instances.forEach((instance, position) => {
      const add = (name: string, changed: ModelState | undefined): void => {
        if (changed) steps.push({ name: `${name} ${position}`, state: changed });
      };
      add('crash', instance.isUp ? this.#change(state, position, DOWN) : undefined);
      add('wipe', this.#wipe(state, position));
      add('start', this.#start(state, position));
      add('register', this.#register(state, position));
      add('expire', this.#expire(state, position));
      add('repair', this.#repair(state, position));
      add('request', this.#request(state, position));
      add('hand-over', this.#handOver(state, position));
      add('forget', this.#forget(state, position));
    });
    return steps;
  }

  #change(state: ModelState, position: number, change: Partial<ModelInstance>): ModelState {
    return {
      ...state,
      instances: state.instances.map((one, index) =>
        index === position ? { ...one, ...change } : one,
      ),
    };
  }

  #isWhole(instances: readonly ModelInstance[], position: number): boolean {
    const { isRegistered, hasLost, hasRepaired } = instances[position]!;
    const hasAbsentMember = instances.some(({ isMember, isListed }) => isMember && !isListed);
    return isRegistered && !hasLost && hasRepaired && !hasAbsentMember;
  }

  #listHolderCandidates(instances: readonly ModelInstance[]): readonly HolderCandidate[] {
    return instances.flatMap(({ isListed, isRetiring }, position) =>
      isListed
        ? [
            {
              name: String(position),
              availabilityZone: this.#options.availabilityZones[position]!,
              state: isRetiring ? ('leaving' as const) : ('serving' as const),
            },
          ]
        : [],
    );
  }

  /** Returns the names of the holders; each list is ranked once. */
  #listHolders(candidates: readonly HolderCandidate[]): readonly string[] {
    const text = describeCandidates(candidates);
    const known = this.#holders.get(text);
    if (known) return known;
    const { decisions, toleratedLosses, program } = this.#options;
    const key = { organisation: 'north', program };
    const holders = decisions.chooseHolders(key, candidates, toleratedLosses);
    const names = holders.map(({ name }) => name);
    this.#holders.set(text, names);
    return names;
  }

  /** An entry instance stores the turn on any instances that accept it, in any order. */
  #listWrites(state: ModelState): ModelStep[] {
    const accepting = state.instances.flatMap((instance, position) => {
      const isMember = instance.isRegistered ? instance.isMember : instance.hasMarker;
      return instance.isUp && isMember && !instance.isRetiring ? [position] : [];
    });
    const single = accepting
      .filter((position) => !state.instances[position]!.hasTurn)
      .map((position) => ({
        name: `write ${position}`,
        state: this.#change(state, position, { hasTurn: true }),
      }));
    if (state.isAcknowledged) return [];
    const holding = accepting.filter((position) => state.instances[position]!.hasTurn);
    if (holding.length < this.#copies) return single;
    return [...single, { name: 'acknowledge', state: { ...state, isAcknowledged: true } }];
  }

  #wipe(state: ModelState, position: number): ModelState | undefined {
    const { isUsed, isRemoved, isMember, hasMarker } = state.instances[position]!;
    if (!isUsed || isRemoved) return undefined;
    // Members without a marker have lost turns, or may have.
    const lost = state.instances.filter((one, index) => {
      const isIncomplete = one.isUp ? one.hasLost : one.isMember && !one.hasMarker;
      return index !== position && one.isUsed && !one.isRemoved && isIncomplete;
    }).length;
    if (lost >= this.#options.toleratedLosses.instances || !(isMember && hasMarker)) {
      return undefined;
    }
    return this.#change(state, position, { ...DOWN, hasTurn: false, hasMarker: false });
  }

  #start(state: ModelState, position: number): ModelState | undefined {
    const { isUp, isRemoved, hasMarker } = state.instances[position]!;
    if (isUp || isRemoved) return undefined;
    return this.#change(state, position, {
      isUsed: true,
      isUp: true,
      hasLost: !hasMarker,
      hasRepaired: hasMarker,
    });
  }

  #register(state: ModelState, position: number): ModelState | undefined {
    const { isUp, isRegistered, isMember, hasMarker, isRetiring } = state.instances[position]!;
    if (!isUp || isRegistered) return undefined;
    const hasLost = !hasMarker && isMember;
    const registered = this.#change(state, position, {
      isRegistered: true,
      hasLost,
      isMember: isMember || !isRetiring,
      isListed: true,
      listedLost: hasLost,
      repairedWithout: [],
      repairedAmong: '',
    });
    // The new revision of the member ends its earlier absence.
    return {
      ...registered,
      instances: registered.instances.map((one) => ({
        ...one,
        repairedWithout: one.repairedWithout.filter((absent) => absent !== position),
      })),
    };
  }

  #expire(state: ModelState, position: number): ModelState | undefined {
    const { isListed, isUp, isRegistered } = state.instances[position]!;
    if (!isListed || (isUp && isRegistered)) return undefined;
    return this.#change(state, position, {
      isListed: false,
      listedLost: false,
      repairedWithout: [],
      repairedAmong: '',
    });
  }

  #repair(state: ModelState, position: number): ModelState | undefined {
    const { instances } = state;
    const own = instances[position]!;
    const haveAllAnswered = instances.every(
      ({ isListed, isUp, isRegistered }) => !isListed || (isUp && isRegistered),
    );
    if (!own.isRegistered || !haveAllAnswered) return undefined;
    const { decisions, toleratedLosses } = this.#options;
    const candidates = this.#listHolderCandidates(instances);
    const isHolder = this.#listHolders(candidates).includes(String(position));
    const copies = instances.filter(({ isListed, hasTurn }) => isListed && hasTurn).length;
    const isNeeded = isHolder || (own.hasLost && copies < this.#copies);
    const absent = instances.flatMap(({ isMember, isRetiring, isListed }, index) =>
      (isMember || isRetiring) && !isListed ? [index] : [],
    );
    const isConclusive = decisions.isRepairConclusive({
      serving: candidates.filter((one) => one.state === 'serving').length,
      absent: absent.filter((index) => instances[index]!.isMember).length,
      lost: instances.filter((one) => one.isListed && one.listedLost).length,
      toleratedLosses,
    });
    const isComplete = isConclusive || !own.hasLost;
    return this.#change(state, position, {
      hasTurn: own.hasTurn || (isNeeded && copies > 0),
      hasLost: !isComplete,
      listedLost: !isComplete,
      hasRepaired: own.hasRepaired || isComplete,
      hasMarker: own.hasMarker || isComplete,
      repairedWithout: isConclusive ? absent : [],
      repairedAmong: isConclusive ? describeCandidates(candidates) : '',
    });
  }

  #request(state: ModelState, position: number): ModelState | undefined {
    const { isUsed, isRetiring } = state.instances[position]!;
    if (!isUsed || isRetiring) return undefined;
    return this.#change(state, position, { isRetiring: true });
  }

  /** An instance that is leaving copies the turn to its holders, and is removed with its disk. */
  #handOver(state: ModelState, position: number): ModelState | undefined {
    const { instances } = state;
    const own = instances[position]!;
    if (!own.isRegistered || !own.isRetiring || own.isRemoved) return undefined;
    const { decisions, toleratedLosses, program } = this.#options;
    const key = { organisation: 'north', program };
    const candidates = this.#listHolderCandidates(instances);
    const others = candidates.filter(({ name }) => name !== String(position));
    const holders = this.#listHolders(others);
    const changed = instances.map((one, index) => {
      const isHolder = holders.includes(String(index));
      const receives = own.hasTurn && isHolder && one.isUp && one.isRegistered;
      return receives ? { ...one, hasTurn: true } : one;
    });
    const isDone = decisions.isRetired({
      instance: String(position),
      held: own.hasTurn ? [key] : [],
      instances: candidates,
      toleratedLosses,
      hasLost: own.hasLost,
      isHeldBy: (name) => {
        const { isUp, isRegistered, hasTurn } = changed[Number(name)]!;
        return isUp && isRegistered && hasTurn;
      },
    });
    const copied = { ...state, instances: changed };
    return isDone ? this.#remove(copied, position) : copied;
  }

  /** Another instance ends the membership of an absent one, and its machine is removed. */
  #forget(state: ModelState, position: number): ModelState | undefined {
    const { instances } = state;
    const { isListed, isMember, isRetiring, isRemoved } = instances[position]!;
    if (isListed || isRemoved || !(isMember || isRetiring)) return undefined;
    const listed = instances.filter((one) => one.isListed);
    if (!listed.some(({ isUp, isRegistered }) => isUp && isRegistered)) return undefined;
    const repairedWithout = listed.map((one) =>
      one.repairedWithout.map((absent) => `${absent}/${one.repairedAmong}`),
    );
    const absence = `${position}/${describeCandidates(this.#listHolderCandidates(instances))}`;
    if (!this.#options.decisions.mayForgetAbsence({ absence, repairedWithout })) return undefined;
    return isRetiring
      ? this.#remove(state, position)
      : this.#change(state, position, { isMember: false });
  }

  #remove(state: ModelState, position: number): ModelState {
    return this.#change(state, position, { ...UNUSED, isUsed: true, isRemoved: true });
  }
}

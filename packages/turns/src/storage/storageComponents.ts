import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import type { TurnLog } from '@limpetnotch/turn-log';
import { AbsenceReporter } from './absenceReporter';
import type { Completeness } from './completeness';
import { OwnRetirement } from './ownRetirement';
import { Presence } from './presence';
import { Repair } from './repair';
import type { StorageCodec } from './storageCodec';
import type { StorageSettings } from './storageSettings';
import type { StorageView } from './storageView';
import type { TurnClients } from './turnClients';
import { TurnServiceHandlers } from './turnServiceHandlers';

/** Parts of {@link StorageComponents}. */
export interface StorageComponentsParts {
  readonly settings: StorageSettings;
  readonly incarnation: string;
  readonly log: TurnLog;
  readonly view: StorageView;
  readonly completeness: Completeness;
  readonly clients: TurnClients;
  readonly store: KeyValueStore;
  readonly codec: StorageCodec;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the port of the service. */
  readonly getPort: () => number;
  /** Starts the next round of repair. */
  readonly wakeRepair: () => void;
}

/** The parts of a storage instance that work on an open log. */
export class StorageComponents {
  readonly repair: Repair;

  readonly retirement: OwnRetirement;

  readonly presence: Presence;

  readonly handlers: TurnServiceHandlers;

  readonly absences: AbsenceReporter;

  readonly #parts: StorageComponentsParts;

  constructor(parts: StorageComponentsParts) {
    const { settings, incarnation, completeness, view, wakeRepair } = parts;
    const { instance, toleratedLosses } = settings;
    const common = { ...parts, instance, toleratedLosses };
    this.#parts = parts;
    this.repair = new Repair(common);
    this.retirement = new OwnRetirement({
      ...common,
      countWrites: () => this.handlers.writes,
      resign: async () => {
        await completeness.retire();
        return this.presence.resign();
      },
    });
    this.presence = new Presence({
      ...common,
      isFirstStart: settings.isFirstStart,
      mayRegister: () => view.isKnown,
      isLeaving: () => this.retirement.isLeaving,
      isSeen: () => view.presentNames.includes(instance),
      onRegistered: (wasMember) => completeness.recordRegistration(wasMember),
      describe: () => this.#describe(),
    });
    this.handlers = new TurnServiceHandlers({
      ...common,
      incarnation,
      isWhole: () => this.#isWhole(),
      acceptsTurns: () =>
        !this.retirement.isLeaving &&
        (this.presence.isEstablished || completeness.startedWithMarker),
      onMissingParent: wakeRepair,
    });
    this.absences = new AbsenceReporter({ ...common, repair: this.repair });
  }

  #isWhole(): boolean {
    const { view, completeness } = this.#parts;
    return view.isKnown && completeness.isComplete && !view.hasUncertainAbsence();
  }

  #describe() {
    const { settings, incarnation, completeness, getPort } = this.#parts;
    return {
      address: `${settings.host}:${getPort()}`,
      availabilityZone: settings.availabilityZone,
      incarnation,
      state: this.retirement.isLeaving ? ('leaving' as const) : ('serving' as const),
      isWhole: this.#isWhole(),
      hasLost: completeness.hasLost,
      repairedWithout: [...this.repair.repairedWithout],
    };
  }
}

import type { Logger } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import { boundStoreCall } from '@limpetnotch/store';
import { mayForgetAbsence } from '../decisions/mayForgetAbsence';
import type { Repair } from './repair';
import type { StorageCodec } from './storageCodec';
import { STORAGE_MEMBER_PREFIX } from './storageMember';
import type { AbsentMember, StorageView } from './storageView';
import { toAbsenceKey } from './storageView';
import { writeRetirement } from './writeRetirement';

const CALL_MILLISECONDS = 900;

/** Parts of an {@link AbsenceReporter}. */
export interface AbsenceReporterParts {
  /** Name of this instance. */
  readonly instance: string;
  readonly store: KeyValueStore;
  readonly codec: StorageCodec;
  readonly view: StorageView;
  readonly repair: Repair;
  readonly logger: Logger;
}

/**
 * Removes absent members, and reports those that were to be retired, once all present instances have
 * repaired without them. Only the present instance with the first name does this.
 */
export class AbsenceReporter {
  readonly #parts: AbsenceReporterParts;

  readonly #reported = new Set<string>();

  constructor(parts: AbsenceReporterParts) {
    this.#parts = parts;
  }

  async advance(): Promise<void> {
    const { view, instance } = this.#parts;
    this.#reported.forEach((name) => {
      if (!view.retiring.has(name)) this.#reported.delete(name);
    });
    const { presentNames } = view;
    if (!view.isKnown || presentNames[0] !== instance) return;
    // While an instance that is gone still counts, it may be the only one that has some turns.
    if (view.listCounted().length !== presentNames.length) return;
    for (const absent of view.listAbsent()) await this.#settle(absent);
  }

  async #settle(absent: AbsentMember): Promise<void> {
    const { store, codec, view, logger } = this.#parts;
    const { name, revision, isForgotten } = absent;
    if (this.#reported.has(name) && revision === 0) return;
    if (!isForgotten && !this.#haveAllRepairedWithout(toAbsenceKey(absent, view.listCounted()))) {
      return;
    }
    if (revision > 0) {
      const key = `${STORAGE_MEMBER_PREFIX}${name}`;
      const removed = await boundStoreCall(store.remove(key, revision), CALL_MILLISECONDS);
      if (!removed.unwrapOr(false)) return;
      logger.info('storage.member-removed', { member: name });
    }
    if (!view.retiring.has(name)) return;
    if (!(await writeRetirement({ store, codec, instance: name, state: 'done' }))) return;
    this.#reported.add(name);
    logger.info('retirement.reported', { retired: name, state: 'done' });
  }

  #haveAllRepairedWithout(absence: string): boolean {
    const { view, repair, instance } = this.#parts;
    const repairedWithout = view
      .listCounted()
      .map((one) => (one.name === instance ? repair.repairedWithout : one.repairedWithout));
    return mayForgetAbsence({ absence, repairedWithout });
  }
}

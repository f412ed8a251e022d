import type { QuarantineEntry } from '@limpetnotch/scheduling';
import { countedCrashes } from '@limpetnotch/scheduling';
import type { QuarantineLedger } from './quarantineLedger';
import type { QuarantinePeers } from './quarantinePeers';
import type { RequestQuarantine } from './requestQuarantine';

/** The crash of a target interrupts several requests within this time; they are sent together. */
const BATCH_DELAY_MILLISECONDS = 20;

/** Dependencies of a {@link QuarantineSharing}. */
export interface QuarantineSharingParts {
  readonly quarantine: RequestQuarantine;
  readonly peers: QuarantinePeers;
  readonly ledger: Pick<QuarantineLedger, 'write'>;
}

/**
 * Shares entries on requests that crash targets. The first crash is sent to the few instances that
 * count it; from the second crash on, entries are sent to all instances and to the store, which
 * outlives them.
 */
export class QuarantineSharing {
  readonly #parts: QuarantineSharingParts;

  #changed = new Map<string, QuarantineEntry>();

  constructor(parts: QuarantineSharingParts) {
    this.#parts = parts;
    parts.quarantine.onChange((entry) => this.#scheduleShare(entry));
  }

  /** Merges entries from another instance, and shares those that are more complete here. */
  receive(entries: readonly QuarantineEntry[]): void {
    entries.forEach((entry) => {
      const merged = this.#parts.quarantine.mergeEntry(entry, 'peer');
      if (!merged) return;
      const isAhead =
        countedCrashes(merged).length > countedCrashes(entry).length ||
        merged.liftedAtMilliseconds > entry.liftedAtMilliseconds;
      if (isAhead) this.#scheduleShare(merged);
    });
  }

  #scheduleShare(entry: QuarantineEntry): void {
    const isFirst = this.#changed.size === 0;
    this.#changed.set(entry.requestDigest, entry);
    if (!isFirst) return;
    const send = (): void => {
      void this.#send();
    };
    setTimeout(send, BATCH_DELAY_MILLISECONDS).unref();
  }

  async #send(): Promise<void> {
    const { peers, ledger, quarantine } = this.#parts;
    const entries = [...this.#changed.values()];
    this.#changed = new Map();
    const isForAll = ({ requestDigest }: QuarantineEntry): boolean =>
      quarantine.isSharedWithAll(requestDigest);
    const forAll = entries.filter(isForAll);
    const forCountingInstances = entries.filter((entry) => !isForAll(entry));
    forAll.forEach((entry) => ledger.write(entry));
    const allNotified = forAll.length > 0 ? peers.notifyAll(forAll) : undefined;
    const accepted =
      forCountingInstances.length > 0
        ? await peers.notifyCountingInstances(forCountingInstances)
        : new Set<string>();
    // An instance that can't reach any of them shares the entry through the store.
    forCountingInstances
      .filter(({ requestDigest }) => !accepted.has(requestDigest))
      .forEach((entry) => ledger.write(entry));
    await allNotified;
  }
}

import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import { chooseWitnesses, WITNESS_COUNT } from './chooseWitnesses';
import type { Membership } from './membership';
import type { OwnedPartition } from './ownedPartition';
import type { OwnedPartitions } from './ownedPartitions';
import type { PartitionSettings } from './partitionSettings';

const EXTENSIONS_PER_LEASE = 3;

/** Options of a {@link WitnessMaintainer}. */
export interface WitnessMaintainerOptions {
  readonly settings: PartitionSettings;
  readonly membership: Membership;
  readonly owned: OwnedPartitions;
}

/**
 * Prepares every owned partition for an outage of the store: replaces witnesses that left while the
 * store is reachable, and requests extensions of their promises while it is not.
 */
export class WitnessMaintainer {
  readonly #options: WitnessMaintainerOptions;

  constructor(options: WitnessMaintainerOptions) {
    this.#options = options;
  }

  /** Returns the supervised task that replaces witnesses and extends promises. */
  child(): ChildSpecification {
    return { name: 'partitions.outage', restart: 'always', run: (context) => this.#run(context) };
  }

  /**
   * Writes the head of every owned partition, to detect newer epochs claimed while the lease had
   * expired.
   */
  verifyEpochs(): void {
    this.#listOwned().forEach(({ writer }) => writer.verifyEpoch());
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const { settings, membership } = this.#options;
    const interval = settings.leaseMilliseconds / EXTENSIONS_PER_LEASE;
    while (!signal.aborted) {
      await delay(interval, signal);
      if (signal.aborted) return;
      if (membership.isLeaseValid()) this.#replaceWitnesses();
      else await Promise.all(this.#listOwned().map(({ writer }) => writer.extendPromise()));
    }
  }

  #replaceWitnesses(): void {
    const { membership } = this.#options;
    if (!membership.isStoreReachable()) return;
    const peerCount = membership.members().length - 1;
    const targetCount = Math.min(WITNESS_COUNT, peerCount);
    this.#listOwned().forEach(({ writer }) => {
      const { witnesses, owner } = writer.head;
      const isComplete =
        witnesses.length >= targetCount && witnesses.every((w) => membership.isLive(w));
      if (isComplete) return;
      const chosen = chooseWitnesses(writer.partition, owner, membership.members());
      if (chosen.length >= Math.min(witnesses.length, targetCount)) writer.updateWitnesses(chosen);
    });
  }

  #listOwned(): readonly OwnedPartition[] {
    const { owned } = this.#options;
    return owned.listNumbers().flatMap((partition) => owned.get(partition) ?? []);
  }
}

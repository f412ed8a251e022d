import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import { chooseWitnesses, WITNESS_COUNT } from './chooseWitnesses';
import type { Membership } from './membership';
import type { OwnedPartition } from './ownedPartition';
import type { OwnedPartitions } from './ownedPartitions';
import type { PartitionSettings } from './partitionSettings';

const EXTENSIONS_PER_LEASE = 3;

/** Options of an {@link OutageKeeper}. */
export interface OutageKeeperOptions {
  readonly settings: PartitionSettings;
  readonly membership: Membership;
  readonly owned: OwnedPartitions;
}

/**
 * Keeps every owned partition ready for an outage of the store: replaces witnesses that left
 * while the store answers, and asks them for some more time while it does not.
 */
export class OutageKeeper {
  readonly #options: OutageKeeperOptions;

  constructor(options: OutageKeeperOptions) {
    this.#options = options;
  }

  /** Task for the supervisor. */
  child(): ChildSpecification {
    return { name: 'partitions.outage', restart: 'always', run: (context) => this.#run(context) };
  }

  /** Has every owned partition commit, to learn what changed while the lease was over. */
  verifyAll(): void {
    this.#all().forEach(({ writer }) => writer.verify());
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const { settings, membership } = this.#options;
    const interval = settings.leaseMilliseconds / EXTENSIONS_PER_LEASE;
    while (!signal.aborted) {
      await delay(interval, signal);
      if (signal.aborted) return;
      if (membership.isLeaseValid()) this.#replaceWitnesses();
      else await Promise.all(this.#all().map(({ writer }) => writer.extend()));
    }
  }

  #replaceWitnesses(): void {
    const { membership } = this.#options;
    if (!membership.isStoreReachable()) return;
    const others = membership.members().length - 1;
    const wanted = Math.min(WITNESS_COUNT, others);
    this.#all().forEach(({ writer }) => {
      const { witnesses, owner } = writer.head;
      const isComplete = witnesses.length >= wanted && witnesses.every((w) => membership.isLive(w));
      if (isComplete) return;
      const chosen = chooseWitnesses(writer.partition, owner, membership.members());
      if (chosen.length >= Math.min(witnesses.length, wanted)) writer.updateWitnesses(chosen);
    });
  }

  #all(): readonly OwnedPartition[] {
    const { owned } = this.#options;
    return owned.numbers().flatMap((partition) => owned.get(partition) ?? []);
  }
}

import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/platform';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { Supervisor } from '@limpetnotch/supervision';
import type { Member } from './member';
import { Membership } from './membership';
import { OwnedPartitions } from './ownedPartitions';
import type { OwnerHint } from './ownerHints';
import { OwnerHints } from './ownerHints';
import type { Ownership } from './ownership';
import { PartitionClaimer } from './partitionClaimer';
import type { PartitionHandler, PartitionState } from './partitionHandler';
import { headKey, parseHead } from './partitionHead';
import { PartitionOpener } from './partitionOpener';
import type { PartitionSettings } from './partitionSettings';
import { DEFAULT_PARTITION_SETTINGS } from './partitionSettings';
import type { PeerChannel } from './peerChannel';
import { withDeadline } from './util/withDeadline';
import { WriteAllowance } from './writeAllowance';

/** Options of a {@link PartitionManager}. */
export interface PartitionManagerOptions {
  readonly store: KeyValueStore;
  /** This instance, with an incarnation that differs for each start. */
  readonly identity: Member;
  readonly partitionCount: number;
  readonly handler: PartitionHandler;
  readonly peers: PeerChannel;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Values that differ from {@link DEFAULT_PARTITION_SETTINGS}. */
  readonly settings?: Partial<PartitionSettings>;
}

/** Claims partitions for this instance, keeps their journals and knows the owners of the others. */
export class PartitionManager {
  readonly membership: Membership;

  readonly #options: PartitionManagerOptions;

  readonly #settings: PartitionSettings;

  readonly #hints: OwnerHints;

  readonly #owned: OwnedPartitions;

  readonly #claimer: PartitionClaimer;

  constructor(options: PartitionManagerOptions) {
    const { store, identity, logger, metrics, handler, partitionCount } = options;
    const settings = { ...DEFAULT_PARTITION_SETTINGS, ...options.settings };
    const shared = { store, settings, logger, metrics };
    this.#options = options;
    this.#settings = settings;
    const wake = (): void => this.#claimer.wake();
    this.membership = new Membership({ ...shared, identity, onChange: wake });
    this.#hints = new OwnerHints({ ...shared, onNewer: (hint) => this.#noteHint(hint) });
    this.#owned = new OwnedPartitions({ ...shared, onEnd: wake });
    const share = (): number =>
      settings.fleetWritesPerSecond / Math.max(1, this.membership.members().length);
    const allowance = new WriteAllowance(share, settings.writeBurstMilliseconds);
    const opener = new PartitionOpener({ ...shared, handler, allowance });
    this.#claimer = new PartitionClaimer({
      ...shared,
      partitionCount,
      membership: this.membership,
      hints: this.#hints,
      opener,
      owned: this.#owned,
    });
  }

  /** Who owns a partition, as far as this instance knows. */
  ownershipOf(partition: number): Ownership {
    const owned = this.#owned.get(partition);
    if (owned) return { kind: 'local', epoch: owned.writer.epoch };
    const hint = this.#hints.of(partition);
    if (!hint || hint.owner.instance === this.#options.identity.instance) {
      return { kind: 'unowned' };
    }
    return { kind: 'remote', epoch: hint.epoch, owner: hint.owner };
  }

  /** Returns the state of a partition that this instance serves. */
  stateOf(partition: number): PartitionState | undefined {
    return this.#owned.get(partition)?.state;
  }

  /** Reads a partition's head, after an instance answered that it is not the owner. */
  async refresh(partition: number): Promise<Ownership> {
    const { store, metrics } = this.#options;
    const read = store.read(headKey(partition));
    const entry = await withDeadline(read, this.#settings.storeDeadlineMilliseconds);
    metrics.increment('partition.refreshes');
    const head = entry.isOk() && entry.value ? parseHead(entry.value.value) : undefined;
    if (head?.isOk()) {
      const { epoch, owner } = head.value;
      this.#hints.learn({ partition, epoch, owner });
    }
    return this.ownershipOf(partition);
  }

  /** Runs membership, routing and claims until the signal aborts. */
  async run({ signal, ready }: ChildContext): Promise<void> {
    const { logger, metrics } = this.#options;
    const supervisor = new Supervisor({ name: 'partitions', logger, metrics });
    for (const child of this.#children()) await supervisor.startChild(child);
    ready();
    try {
      await supervisor.run(signal);
    } finally {
      this.#owned
        .numbers()
        .forEach((partition) => this.#owned.get(partition)?.writer.stop({ kind: 'released' }));
    }
  }

  #children(): readonly ChildSpecification[] {
    return [...this.membership.children(), this.#hints.child(), this.#claimer.child()];
  }

  /** A newer epoch elsewhere ends the one served here, before its next commit would fail. */
  #noteHint({ partition, epoch }: OwnerHint): void {
    const owned = this.#owned.get(partition);
    if (!owned || owned.writer.epoch >= epoch) return;
    owned.writer.stop({ kind: 'deposed', newerEpoch: epoch });
  }
}

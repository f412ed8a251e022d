import type { Logger, Metrics } from '@limpetnotch/observability';
import type { InstanceList, KeyValueStore } from '@limpetnotch/store';
import { boundStoreCall } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { Supervisor } from '@limpetnotch/supervision';
import { InstanceListView } from './instanceListView';
import type { Member } from './member';
import { Membership } from './membership';
import { WitnessMaintainer } from './witnessMaintainer';
import { OwnedPartitions } from './ownedPartitions';
import type { OwnerHint } from './ownerHints';
import { OwnerHints } from './ownerHints';
import type { Ownership } from './ownership';
import { PartitionClaimer } from './partitionClaimer';
import { PartitionHandover } from './partitionHandover';
import type { PartitionHandler, PartitionState } from './partitionHandler';
import { headKey, parseHead } from './partitionHead';
import { PartitionOpener } from './partitionOpener';
import type { PartitionSettings } from './partitionSettings';
import { DEFAULT_PARTITION_SETTINGS } from './partitionSettings';
import type {
  PeerChannel,
  TakeoverNotice,
  TakeoverReply,
  WitnessReply,
  WitnessRequest,
} from './peerChannel';
import { Witness } from './witness';
import { WriteRateLimiter } from './writeRateLimiter';

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
  /** The platform's list of instances; one that is absent from it has ended. None by default. */
  readonly instanceList?: InstanceList;
}

/**
 * Claims partitions for this instance, maintains their journals and tracks the owners of the
 * others.
 */
export class PartitionManager {
  readonly membership: Membership;

  readonly #options: PartitionManagerOptions;

  readonly #settings: PartitionSettings;

  readonly #hints: OwnerHints;

  readonly #owned: OwnedPartitions;

  readonly #witness: Witness;

  readonly #claimer: PartitionClaimer;

  readonly #handover: PartitionHandover;

  readonly #witnessMaintainer: WitnessMaintainer;

  readonly #instanceListView: InstanceListView | undefined;

  readonly #pendingReads = new Map<number, Promise<void>>();

  constructor(options: PartitionManagerOptions) {
    const { store, identity, logger, metrics, handler, peers, partitionCount } = options;
    const settings = { ...DEFAULT_PARTITION_SETTINGS, ...options.settings };
    this.#options = options;
    this.#settings = settings;
    const wake = (): void => this.#claimer.wake();
    this.membership = new Membership({
      store,
      settings,
      logger,
      metrics,
      identity,
      onChange: wake,
      onRegistered: () => this.#witnessMaintainer.verifyEpochs(),
      hasEnded: (member) => this.#instanceListView?.hasEnded(member) ?? false,
    });
    const { membership } = this;
    const list = options.instanceList;
    this.#instanceListView = list && new InstanceListView({ list, metrics });
    const onNewer = (hint: OwnerHint): void => this.#handleNewerHint(hint);
    const hints = new OwnerHints({ store, settings, logger, metrics, onNewer });
    const owned = new OwnedPartitions({ settings, logger, metrics, onEnd: wake });
    this.#hints = hints;
    this.#owned = owned;
    const witness = new Witness({
      incarnation: identity.incarnation,
      holdMilliseconds: settings.leaseMilliseconds,
      metrics,
      isStoreReachable: () => membership.isStoreReachable(),
      knownEpoch: (partition) => hints.get(partition)?.epoch ?? 0,
    });
    const getWritesPerSecond = (): number =>
      settings.fleetWritesPerSecond / Math.max(1, membership.members().length);
    const writeRateLimiter = new WriteRateLimiter(
      getWritesPerSecond,
      settings.writeBurstMilliseconds,
    );
    const shared = { store, settings, logger, metrics, peers, membership, hints, owned };
    const opener = new PartitionOpener({ ...shared, handler, writeRateLimiter, witness });
    this.#witness = witness;
    this.#claimer = new PartitionClaimer({
      ...shared,
      partitionCount,
      opener,
      readHead: (partition) => this.#readHead(partition),
    });
    this.#handover = new PartitionHandover(shared);
    this.#witnessMaintainer = new WitnessMaintainer(shared);
  }

  /** Returns the owner of a partition, as known to this instance. */
  ownershipOf(partition: number): Ownership {
    const owned = this.#owned.get(partition);
    if (owned && !this.#owned.isMoving(partition)) {
      return { kind: 'local', epoch: owned.writer.epoch };
    }
    const hint = this.#hints.get(partition);
    const isElsewhere = hint && hint.owner.instance !== this.#options.identity.instance;
    if (!isElsewhere || hint.handedOver) return { kind: 'unowned' };
    return { kind: 'remote', epoch: hint.epoch, owner: hint.owner };
  }

  /** Returns the state of a partition that this instance owns, also during its handover. */
  stateOf(partition: number): PartitionState | undefined {
    return this.#owned.get(partition)?.state;
  }

  /**
   * Whether this instance may grant rates or order engines for a partition now, by its lease or by
   * a promise of the witnesses. Commits do not require this, since the store fences them.
   */
  mayAct(partition: number): boolean {
    const owned = this.#owned.get(partition);
    if (!owned) return false;
    return this.membership.isLeaseValid() || owned.guard.hasPromise();
  }

  /**
   * Reads a partition's head, after an instance replied that it is not the owner. Concurrent calls
   * for the same partition share one read.
   */
  async refresh(partition: number): Promise<Ownership> {
    const pendingRead = this.#pendingReads.get(partition) ?? this.#readHead(partition);
    this.#pendingReads.set(partition, pendingRead);
    await pendingRead;
    this.#pendingReads.delete(partition);
    return this.ownershipOf(partition);
  }

  /** Handles the request of an owner to this instance as a witness. */
  confirmWitness(request: WitnessRequest): WitnessReply {
    return this.#witness.confirm(request);
  }

  /** Handles the notice of a new owner to this instance as a witness. */
  announceTakeover(notice: TakeoverNotice): TakeoverReply {
    return this.#witness.handleTakeover(notice);
  }

  /** Claims partitions at once that their owner handed over in favour of this instance. */
  offerPartitions(partitions: readonly number[]): void {
    this.#claimer.acceptOffer(partitions);
  }

  /**
   * Leaves the fleet: hands every partition over once it has no call in progress, then revokes the
   * lease. Resolves to the number of partitions that could not be handed over because the store was
   * unavailable; the lease then remains, and their next owner waits for its end and queries the
   * witnesses for the records.
   */
  async drain(): Promise<number> {
    await this.membership.markLeaving();
    const failed = await this.#handover.handOverAll();
    if (failed === 0) await this.membership.release();
    return failed;
  }

  /** Runs membership, routing, claims and handovers until the signal aborts. */
  async run({ signal, ready }: ChildContext): Promise<void> {
    const { logger, metrics } = this.#options;
    const supervisor = new Supervisor({ name: 'partitions', logger, metrics });
    await supervisor.startChildren(this.#children(), signal);
    ready();
    try {
      await supervisor.run(signal);
    } finally {
      this.#owned
        .listNumbers()
        .forEach((partition) => this.#owned.get(partition)?.writer.stop({ kind: 'released' }));
    }
  }

  #children(): readonly ChildSpecification[] {
    return [
      ...this.membership.children(),
      this.#hints.child(),
      this.#claimer.child(),
      this.#handover.child(),
      this.#witnessMaintainer.child(),
      ...(this.#instanceListView ? [this.#instanceListView.child()] : []),
    ];
  }

  async #readHead(partition: number): Promise<void> {
    const { store, metrics } = this.#options;
    const read = store.read(headKey(partition));
    const entry = await boundStoreCall(read, this.#settings.storeDeadlineMilliseconds);
    metrics.increment('partition.refreshes');
    const head = entry.isOk() && entry.value ? parseHead(entry.value.value) : undefined;
    if (head?.isOk()) {
      const { epoch, owner, handedOver } = head.value;
      this.#hints.update({ partition, epoch, owner, handedOver });
    }
  }

  /** Ends the epoch served here once a newer one is known, before its next commit fails. */
  #handleNewerHint({ partition, epoch }: OwnerHint): void {
    const owned = this.#owned.get(partition);
    if (!owned || owned.writer.epoch >= epoch) return;
    owned.writer.stop({ kind: 'deposed', newerEpoch: epoch });
  }
}

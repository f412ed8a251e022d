import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { Member } from './member';
import type { Membership } from './membership';
import type { OwnedPartition } from './ownedPartition';
import type { OwnedPartitions } from './ownedPartitions';
import type { OwnerHints } from './ownerHints';
import type { PartitionSettings } from './partitionSettings';
import type { PeerChannel } from './peerChannel';
import { rankByRendezvous } from './rendezvous';
import { withPeerDeadline } from './util/withPeerDeadline';
import { WakeSignal } from './util/wakeSignal';

const CONCURRENT_MOVES = 2;

/** Options of a {@link PartitionHandover}. */
export interface PartitionHandoverOptions {
  readonly settings: PartitionSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly peers: PeerChannel;
  readonly membership: Membership;
  readonly hints: OwnerHints;
  readonly owned: OwnedPartitions;
}

/**
 * Hands partitions over: all of them when this instance leaves, some when another instance joins.
 */
export class PartitionHandover {
  readonly #options: PartitionHandoverOptions;

  readonly #pendingMoves = new Map<number, Promise<boolean>>();

  readonly #wakeSignal = new WakeSignal();

  constructor(options: PartitionHandoverOptions) {
    this.#options = options;
  }

  /** Hands every partition over; resolves to the number of those that could not be handed over. */
  async handOverAll(): Promise<number> {
    const { owned } = this.#options;
    const handovers = owned.listNumbers().map((partition) => this.#handOver(partition));
    return (await Promise.all(handovers)).filter((isHandedOver) => !isHandedOver).length;
  }

  /** Returns the supervised task that moves partitions to the members that rank first for them. */
  child(): ChildSpecification {
    return { name: 'partitions.moves', restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const { claimIntervalMilliseconds } = this.#options.settings;
    while (!signal.aborted) {
      await this.#wakeSignal.wait(signal, claimIntervalMilliseconds);
      const capacity = CONCURRENT_MOVES - this.#pendingMoves.size;
      const misplaced = signal.aborted ? [] : this.#listMisplaced().slice(0, Math.max(0, capacity));
      misplaced.forEach((partition) => {
        this.#options.metrics.increment('partition.moves');
        void this.#handOver(partition).finally(() => this.#wakeSignal.wake());
      });
    }
  }

  /**
   * Lists the partitions for which another settled member ranks first, those without calls first.
   */
  #listMisplaced(): readonly number[] {
    const { membership, settings, owned } = this.#options;
    const isSettled = membership.getRegisteredMilliseconds() >= settings.leaseMilliseconds;
    if (!isSettled || membership.identity.leaving) return [];
    const misplaced = owned.listNumbers().filter((partition) => {
      if (owned.isMoving(partition)) return false;
      const [first] = rankByRendezvous(partition, this.#listSettledMembers());
      return first !== undefined && first.instance !== membership.identity.instance;
    });
    const toBusyRank = (partition: number): number =>
      owned.get(partition)?.state.isIdle?.() === false ? 1 : 0;
    return [...misplaced].sort((first, second) => toBusyRank(first) - toBusyRank(second));
  }

  #listSettledMembers(): readonly Member[] {
    const { membership, settings } = this.#options;
    return membership.members().filter((member) => {
      const isSettled = membership.getKnownMilliseconds(member) >= settings.leaseMilliseconds;
      return isSettled && !member.leaving;
    });
  }

  /** Hands a partition over, or returns the handover already in progress. */
  #handOver(partition: number): Promise<boolean> {
    const { owned } = this.#options;
    const pendingMove = this.#pendingMoves.get(partition);
    if (pendingMove) return pendingMove;
    const current = owned.get(partition);
    if (!current) return Promise.resolve(true);
    owned.startMove(partition);
    const move = this.#move(partition, current).finally(() => {
      owned.endMove(partition);
      this.#pendingMoves.delete(partition);
    });
    this.#pendingMoves.set(partition, move);
    return move;
  }

  async #move(partition: number, current: OwnedPartition): Promise<boolean> {
    const { metrics, logger } = this.#options;
    await current.state.drain();
    const isHandedOver = await this.#commitHandover(current);
    if (isHandedOver) {
      await this.#offer(partition, current);
      metrics.increment('partition.handovers');
    } else {
      metrics.increment('partition.failed-handovers');
      logger.warn('partition.handover-failed', { partition, epoch: current.writer.epoch });
    }
    return isHandedOver;
  }

  async #commitHandover({ writer }: OwnedPartition): Promise<boolean> {
    const finished = new AbortController();
    const deadline = delay(this.#options.settings.commitDeadlineMilliseconds, finished.signal).then(
      () => false,
    );
    const isHandedOver = await Promise.race([writer.handOver(), deadline]);
    finished.abort();
    // Without a commit, the next owner waits for the lease to end and queries the witnesses.
    writer.stop({ kind: 'released' });
    return isHandedOver;
  }

  async #offer(partition: number, { writer }: OwnedPartition): Promise<void> {
    const { membership, hints, peers, settings } = this.#options;
    const { identity } = membership;
    const published = hints.publish({
      partition,
      epoch: writer.epoch,
      owner: identity,
      handedOver: true,
    });
    const others = membership
      .members()
      .filter(({ instance, leaving }) => instance !== identity.instance && !leaving);
    const [next] = rankByRendezvous(partition, others);
    const offered =
      next &&
      withPeerDeadline(peers.offerPartitions(next, [partition]), settings.peerDeadlineMilliseconds);
    await Promise.all([published, offered]);
  }
}

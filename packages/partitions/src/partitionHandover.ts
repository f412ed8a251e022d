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

/** Gives partitions up: all of them when this instance leaves, some when another one joined. */
export class PartitionHandover {
  readonly #options: PartitionHandoverOptions;

  readonly #moves = new Map<number, Promise<boolean>>();

  readonly #wake = new WakeSignal();

  constructor(options: PartitionHandoverOptions) {
    this.#options = options;
  }

  /** Gives up every partition; resolves to the number that could not be handed over. */
  async handOverAll(): Promise<number> {
    const { owned } = this.#options;
    const handed = owned.numbers().map((partition) => this.#handOver(partition));
    return (await Promise.all(handed)).filter((isHanded) => !isHanded).length;
  }

  /** Task for the supervisor: moves partitions to members that come first for them. */
  child(): ChildSpecification {
    return { name: 'partitions.moves', restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const { claimIntervalMilliseconds } = this.#options.settings;
    while (!signal.aborted) {
      await this.#wake.wait(signal, claimIntervalMilliseconds);
      const room = CONCURRENT_MOVES - this.#moves.size;
      const surplus = signal.aborted ? [] : this.#surplus().slice(0, Math.max(0, room));
      surplus.forEach((partition) => {
        this.#options.metrics.increment('partition.moves');
        void this.#handOver(partition).finally(() => this.#wake.wake());
      });
    }
  }

  /** Partitions that another settled member comes first for, those without calls first. */
  #surplus(): readonly number[] {
    const { membership, settings, owned } = this.#options;
    const isSettled = membership.registeredForMilliseconds() >= settings.leaseMilliseconds;
    if (!isSettled || membership.identity.leaving) return [];
    const surplus = owned.numbers().filter((partition) => {
      if (owned.isMoving(partition)) return false;
      const [first] = rankByRendezvous(partition, this.#settledMembers());
      return first !== undefined && first.instance !== membership.identity.instance;
    });
    const isBusy = (partition: number): number =>
      owned.get(partition)?.state.isIdle?.() === false ? 1 : 0;
    return [...surplus].sort((first, second) => isBusy(first) - isBusy(second));
  }

  #settledMembers(): readonly Member[] {
    const { membership, settings } = this.#options;
    return membership.members().filter((member) => {
      const isSettled = membership.memberForMilliseconds(member) >= settings.leaseMilliseconds;
      return isSettled && !member.leaving;
    });
  }

  /** Gives a partition up, or joins the move of it that is under way. */
  #handOver(partition: number): Promise<boolean> {
    const { owned } = this.#options;
    const underWay = this.#moves.get(partition);
    if (underWay) return underWay;
    const current = owned.get(partition);
    if (!current) return Promise.resolve(true);
    owned.startMove(partition);
    const move = this.#move(partition, current).finally(() => {
      owned.endMove(partition);
      this.#moves.delete(partition);
    });
    this.#moves.set(partition, move);
    return move;
  }

  async #move(partition: number, current: OwnedPartition): Promise<boolean> {
    const { metrics, logger } = this.#options;
    await current.state.drain();
    const isHanded = await this.#commitHandover(current);
    if (isHanded) {
      await this.#offer(partition, current);
      metrics.increment('partition.handovers');
    } else {
      metrics.increment('partition.failed-handovers');
      logger.warn('partition.handover-failed', { partition, epoch: current.writer.epoch });
    }
    return isHanded;
  }

  async #commitHandover({ writer }: OwnedPartition): Promise<boolean> {
    const finished = new AbortController();
    const deadline = delay(this.#options.settings.commitDeadlineMilliseconds, finished.signal).then(
      () => false,
    );
    const isHanded = await Promise.race([writer.handOver(), deadline]);
    finished.abort();
    // Without a commit the next owner waits for the lease to end, and asks the witnesses.
    writer.stop({ kind: 'released' });
    return isHanded;
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

import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { chooseWitnesses } from './chooseWitnesses';
import type { Claim, ClaimError } from './claimPartition';
import { claimPartition } from './claimPartition';
import type { JournalEnd } from './journalWriter';
import type { Member } from './member';
import type { Membership } from './membership';
import type { OwnedPartitions } from './ownedPartitions';
import type { OwnerHints } from './ownerHints';
import type { PartitionOpener } from './partitionOpener';
import type { PartitionSettings } from './partitionSettings';
import { rankByRendezvous } from './rendezvous';
import { WakeSignal } from './util/wakeSignal';

const CONCURRENT_CLAIMS = 16;

/** Options of a {@link PartitionClaimer}. */
export interface PartitionClaimerOptions {
  readonly store: KeyValueStore;
  readonly partitionCount: number;
  readonly settings: PartitionSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly membership: Membership;
  readonly hints: OwnerHints;
  readonly opener: PartitionOpener;
  readonly owned: OwnedPartitions;
  /** Reads a partition's head and takes its owner in as a hint. */
  readHead(partition: number): Promise<void>;
}

/** Finds partitions without a live owner that this instance comes first for, and claims them. */
export class PartitionClaimer {
  readonly #options: PartitionClaimerOptions;

  readonly #wake = new WakeSignal();

  readonly #claiming = new Map<number, Promise<void>>();

  /** Partitions that their owner offered to this instance, whatever the ranking. */
  readonly #offered = new Set<number>();

  #lastVerified = -1;

  #isVerifying = false;

  constructor(options: PartitionClaimerOptions) {
    this.#options = options;
  }

  /** Looks for free partitions at once. */
  wake(): void {
    this.#wake.wake();
  }

  /** Takes an owner's word that it gave partitions up for this instance. */
  offer(partitions: readonly number[]): void {
    partitions.forEach((partition) => this.#offered.add(partition));
    this.wake();
  }

  /** Task for the supervisor. */
  child(): ChildSpecification {
    return { name: 'partitions.claims', restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const { claimIntervalMilliseconds } = this.#options.settings;
    while (!signal.aborted) {
      await this.#wake.wait(signal, claimIntervalMilliseconds);
      const room = CONCURRENT_CLAIMS - this.#claiming.size;
      const partitions = signal.aborted ? [] : this.#claimable().slice(0, room);
      partitions.forEach((partition) => this.#start(partition, signal));
      // A slow reading holds up no claim.
      if (!signal.aborted && !this.#isVerifying) void this.#verifyOne();
    }
    await Promise.all(this.#claiming.values());
  }

  #start(partition: number, signal: AbortSignal): void {
    const claimed = this.#claim(partition, signal).catch((error: unknown) => {
      const { owned, metrics } = this.#options;
      metrics.increment('partition.assertion-failures');
      owned.fail(partition, error instanceof Error ? error.message : String(error));
    });
    const finished = claimed.finally(() => {
      this.#claiming.delete(partition);
      this.wake();
    });
    this.#claiming.set(partition, finished);
  }

  #claimable(): readonly number[] {
    const { membership, partitionCount, owned, hints } = this.#options;
    if (!membership.isLeaseValid() || membership.identity.leaving) return [];
    const candidates = membership.members().filter(({ leaving }) => !leaving);
    const partitions = Array.from({ length: partitionCount }, (_value, partition) => partition);
    return partitions.filter((partition) => {
      if (owned.get(partition) || this.#claiming.has(partition)) return false;
      if (owned.isLeftAlone(partition)) return false;
      if (this.#offered.has(partition)) return true;
      const hint = hints.of(partition);
      const isHeld = hint !== undefined && !hint.handedOver;
      // An own epoch that ended here is not known to be free by the others.
      if (isHeld && this.#isSelf(hint.owner)) return true;
      if (isHeld && !this.#mayReplace(hint.owner)) return false;
      const [first] = rankByRendezvous(partition, candidates);
      return first !== undefined && this.#isSelf(first);
    });
  }

  /**
   * Reads the head of one partition that this instance comes first for and another is said to own.
   * While the store is out a handover's hint and offer may both be lost; only the head then tells
   * that the partition is free. Once all moves are done there is none to read.
   */
  async #verifyOne(): Promise<void> {
    const doubtful = this.#doubtful();
    const next = doubtful.find((partition) => partition > this.#lastVerified) ?? doubtful[0];
    if (next === undefined) return;
    this.#lastVerified = next;
    this.#isVerifying = true;
    this.#options.metrics.increment('partition.verified-heads');
    await this.#options.readHead(next).finally(() => {
      this.#isVerifying = false;
    });
  }

  #doubtful(): readonly number[] {
    const { membership, partitionCount, owned, hints } = this.#options;
    if (!membership.isLeaseValid() || membership.identity.leaving) return [];
    const candidates = membership.members().filter(({ leaving }) => !leaving);
    const partitions = Array.from({ length: partitionCount }, (_value, partition) => partition);
    return partitions.filter((partition) => {
      const hint = hints.of(partition);
      if (!hint || hint.handedOver || this.#isSelf(hint.owner)) return false;
      if (owned.get(partition) || this.#claiming.has(partition)) return false;
      const [first] = rankByRendezvous(partition, candidates);
      return first !== undefined && this.#isSelf(first);
    });
  }

  #isSelf({ instance, incarnation }: Member): boolean {
    const { identity } = this.#options.membership;
    return instance === identity.instance && incarnation === identity.incarnation;
  }

  /**
   * Whether an owner's lease ended. While this instance is newly registered, the others may still
   * be registering again after an outage of the store, so nobody is replaced.
   */
  #mayReplace(owner: Member): boolean {
    if (this.#isSelf(owner)) return true;
    const { membership, settings } = this.#options;
    const isSettled = membership.registeredForMilliseconds() >= settings.leaseMilliseconds;
    return isSettled && !membership.isLive(owner);
  }

  async #claim(partition: number, signal: AbortSignal): Promise<void> {
    const { store, metrics, membership, settings } = this.#options;
    const wasOffered = this.#offered.delete(partition);
    const claimer = membership.identity;
    const claim = await claimPartition({
      store,
      partition,
      claimer,
      deadlineMilliseconds: settings.storeDeadlineMilliseconds,
      chooseWitnesses: () => chooseWitnesses(partition, claimer, membership.members()),
      mayReplace: (owner) => this.#mayReplace(owner),
      onUnknownOutcome: () => metrics.increment('partition.unknown-claims'),
    });
    if (claim.isErr()) {
      // The store gave no answer: the offer still stands.
      if (wasOffered && claim.error.kind === 'try-again') this.#offered.add(partition);
      this.#noteError(partition, claim.error);
      return;
    }
    metrics.increment('partition.claims');
    await this.#open(partition, claim.value, signal);
  }

  async #open(partition: number, claim: Claim, signal: AbortSignal): Promise<void> {
    const { opener, owned, hints } = this.#options;
    const { epoch, owner } = claim.head;
    const onEnd = (end: JournalEnd): void => owned.end(partition, epoch, end);
    const opened = await opener.open({ partition, claim, signal, onEnd });
    if (opened.isErr()) {
      owned.fail(partition, opened.error.detail);
      return;
    }
    if (signal.aborted) {
      opened.value.writer.stop({ kind: 'released' });
      return;
    }
    owned.serve(partition, opened.value);
    await hints.publish({ partition, epoch, owner, handedOver: false });
  }

  #noteError(partition: number, error: ClaimError): void {
    const { metrics, owned, hints, settings } = this.#options;
    metrics.increment('partition.claim-failures', 1, { kind: error.kind });
    owned.postpone(partition, settings.claimIntervalMilliseconds * (1 + Math.random()));
    switch (error.kind) {
      case 'owned':
        hints.learn({ partition, epoch: error.epoch, owner: error.owner, handedOver: false });
        break;
      case 'try-again':
        break;
      case 'corrupt-head':
      case 'newer-format':
        owned.fail(partition, error.detail);
        break;
      // no default
    }
  }
}

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
  /** Reads a partition's head and records its owner as a hint. */
  readHead(partition: number): Promise<void>;
}

/** Claims partitions that have no live owner and for which this instance ranks first. */
export class PartitionClaimer {
  readonly #options: PartitionClaimerOptions;

  readonly #wakeSignal = new WakeSignal();

  readonly #claiming = new Map<number, Promise<void>>();

  /** Partitions that their owners offered to this instance; claimed regardless of the ranking. */
  readonly #offered = new Set<number>();

  #lastVerifiedPartition = -1;

  #isVerifying = false;

  constructor(options: PartitionClaimerOptions) {
    this.#options = options;
  }

  /** Searches for unowned partitions at once. */
  wake(): void {
    this.#wakeSignal.wake();
  }

  /** Accepts partitions that their owner handed over in favour of this instance. */
  acceptOffer(partitions: readonly number[]): void {
    partitions.forEach((partition) => this.#offered.add(partition));
    this.wake();
  }

  /** Returns the supervised task that claims partitions. */
  child(): ChildSpecification {
    return { name: 'partitions.claims', restart: 'always', run: (context) => this.#run(context) };
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const { claimIntervalMilliseconds } = this.#options.settings;
    while (!signal.aborted) {
      await this.#wakeSignal.wait(signal, claimIntervalMilliseconds);
      const capacity = CONCURRENT_CLAIMS - this.#claiming.size;
      const partitions = signal.aborted ? [] : this.#listClaimable().slice(0, capacity);
      partitions.forEach((partition) => this.#startClaim(partition, signal));
      // Not awaited, so that a slow read delays no claim.
      if (!signal.aborted && !this.#isVerifying) void this.#verifyNextHead();
    }
    await Promise.all(this.#claiming.values());
  }

  #startClaim(partition: number, signal: AbortSignal): void {
    const claimed = this.#claim(partition, signal).catch((error: unknown) => {
      const { owned, metrics } = this.#options;
      metrics.increment('partition.assertion-failures');
      owned.markFailed(partition, error instanceof Error ? error.message : String(error));
    });
    const finished = claimed.finally(() => {
      this.#claiming.delete(partition);
      this.wake();
    });
    this.#claiming.set(partition, finished);
  }

  #listClaimable(): readonly number[] {
    const { membership, partitionCount, owned, hints } = this.#options;
    if (!membership.isLeaseValid() || membership.identity.leaving) return [];
    const candidates = membership.members().filter(({ leaving }) => !leaving);
    const partitions = Array.from({ length: partitionCount }, (_value, partition) => partition);
    return partitions.filter((partition) => {
      if (owned.get(partition) || this.#claiming.has(partition)) return false;
      if (owned.isClaimSuspended(partition)) return false;
      if (this.#offered.has(partition)) return true;
      const hint = hints.get(partition);
      const isOwned = hint !== undefined && !hint.handedOver;
      // The other instances do not know that an epoch of this instance ended here.
      if (isOwned && this.#isSelf(hint.owner)) return true;
      if (isOwned && !this.#mayReplace(hint.owner)) return false;
      const [first] = rankByRendezvous(partition, candidates);
      return first !== undefined && this.#isSelf(first);
    });
  }

  /**
   * Reads the head of one partition for which this instance ranks first, but whose hint names
   * another owner. During an outage of the store, both the hint and the offer of a handover may be
   * lost; only the head then shows that the partition is unowned. Once all moves have completed,
   * there is no such partition.
   */
  async #verifyNextHead(): Promise<void> {
    const unverified = this.#listUnverified();
    const next =
      unverified.find((partition) => partition > this.#lastVerifiedPartition) ?? unverified[0];
    if (next === undefined) return;
    this.#lastVerifiedPartition = next;
    this.#isVerifying = true;
    this.#options.metrics.increment('partition.verified-heads');
    await this.#options.readHead(next).finally(() => {
      this.#isVerifying = false;
    });
  }

  #listUnverified(): readonly number[] {
    const { membership, partitionCount, owned, hints } = this.#options;
    if (!membership.isLeaseValid() || membership.identity.leaving) return [];
    const candidates = membership.members().filter(({ leaving }) => !leaving);
    const partitions = Array.from({ length: partitionCount }, (_value, partition) => partition);
    return partitions.filter((partition) => {
      const hint = hints.get(partition);
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
   * Whether an owner's lease has ended. While this instance is newly registered, the others may
   * still be registering again after an outage of the store, so no owner is replaced.
   */
  #mayReplace(owner: Member): boolean {
    if (this.#isSelf(owner)) return true;
    const { membership, settings } = this.#options;
    const isSettled = membership.getRegisteredMilliseconds() >= settings.leaseMilliseconds;
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
      // The claim had no known outcome, so the offer remains valid.
      if (wasOffered && claim.error.kind === 'try-again') this.#offered.add(partition);
      this.#handleClaimError(partition, claim.error);
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
      owned.markFailed(partition, opened.error.detail);
      return;
    }
    if (signal.aborted) {
      opened.value.writer.stop({ kind: 'released' });
      return;
    }
    owned.serve(partition, opened.value);
    await hints.publish({ partition, epoch, owner, handedOver: false });
  }

  #handleClaimError(partition: number, error: ClaimError): void {
    const { metrics, owned, hints, settings } = this.#options;
    metrics.increment('partition.claim-failures', 1, { kind: error.kind });
    owned.postponeClaim(partition, settings.claimIntervalMilliseconds * (1 + Math.random()));
    switch (error.kind) {
      case 'owned':
        hints.update({ partition, epoch: error.epoch, owner: error.owner, handedOver: false });
        break;
      case 'try-again':
        break;
      case 'corrupt-head':
      case 'newer-format':
        owned.markFailed(partition, error.detail);
        break;
      // no default
    }
  }
}

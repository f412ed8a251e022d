import type { Metrics } from '@limpetnotch/observability';
import { computeMajority } from './chooseWitnesses';
import { encodeLog } from './deferredLog';
import type { Member } from './member';
import type { PeerChannel } from './peerChannel';
import type { PartitionSettings } from './partitionSettings';
import { withPeerDeadline } from './util/withPeerDeadline';

/** Replicates records to witnesses during an outage of the store. */
export interface DeferredReplicator {
  /** Replicates texts, oldest first; resolves to whether enough witnesses confirmed all of them. */
  replicate(journal: GuardedJournal, texts: readonly string[]): Promise<boolean>;
  /** Notifies the witnesses that the replicated records are committed and may be removed. */
  release(journal: GuardedJournal): void;
}

/** State of a journal that the guard needs. */
export interface GuardedJournal {
  readonly epoch: number;
  /** Number of records that are known to be committed. */
  readonly committedRecords: number;
  /** Witness lists that may be in force: the committed one, and one that is being written. */
  readonly witnessLists: readonly (readonly Member[])[];
  /**
   * Whether the head names this epoch as the serving one, so that a claimer queries its records.
   */
  readonly isServing: boolean;
}

/** Options of an {@link OutageGuard}. */
export interface OutageGuardOptions {
  readonly partition: number;
  readonly owner: Member;
  readonly peers: PeerChannel;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  /** Returns the time of the monotonic clock at which this instance's last lease ends or ended. */
  getLeaseEnd(): number;
}

/**
 * Allows an owner to continue during an outage of the store while a majority of its witnesses
 * confirm that they cannot reach the store either, and replicates its records to them.
 */
export class OutageGuard implements DeferredReplicator {
  readonly #options: OutageGuardOptions;

  /** Texts that each witness has confirmed, by its incarnation. */
  readonly #confirmedTexts = new Map<string, readonly string[]>();

  #requestNumber = 0;

  #promisedUntil = -Infinity;

  constructor(options: OutageGuardOptions) {
    this.#options = options;
  }

  /** Whether a promise of the witnesses that no other owner acts is in force. */
  hasPromise(): boolean {
    return performance.now() < this.#promisedUntil;
  }

  async replicate(journal: GuardedJournal, texts: readonly string[]): Promise<boolean> {
    const { settings, getLeaseEnd } = this.#options;
    const { outageLimitMilliseconds, leaseMilliseconds } = settings;
    const { witnessLists, isServing } = journal;
    const sentAt = performance.now();
    const outageEnd = getLeaseEnd() + outageLimitMilliseconds;
    if (!isServing || sentAt >= outageEnd) return false;
    const witnesses = OutageGuard.#listDistinct(witnessLists);
    const confirmed = await this.#requestPromises(witnesses, journal, texts);
    const isMajority = (list: readonly Member[]): boolean =>
      list.filter(({ incarnation }) => confirmed.has(incarnation)).length >= computeMajority(list);
    if (!witnessLists.every(isMajority)) return false;
    this.#promisedUntil = Math.min(sentAt + leaseMilliseconds, outageEnd);
    return this.#hasCopyInOtherAvailabilityZone(witnesses, confirmed);
  }

  release({ epoch, witnessLists }: GuardedJournal): void {
    const { peers, partition, owner, settings } = this.#options;
    const request = { partition, epoch, owner, holdMilliseconds: 0, deferredRecords: [] };
    OutageGuard.#listDistinct(witnessLists).forEach((witness) => {
      // A witness that misses this request keeps the records; a takeover skips the committed ones.
      void withPeerDeadline(
        peers.confirmWitness(witness, request),
        settings.peerDeadlineMilliseconds,
      );
    });
    this.#confirmedTexts.clear();
  }

  static #listDistinct(lists: readonly (readonly Member[])[]): readonly Member[] {
    return [...new Map(lists.flat().map((witness) => [witness.incarnation, witness])).values()];
  }

  async #requestPromises(
    witnesses: readonly Member[],
    journal: GuardedJournal,
    texts: readonly string[],
  ): Promise<Set<string>> {
    this.#requestNumber += 1;
    const confirmed = new Set<string>();
    const requests = witnesses.map(async (witness) => {
      if (await this.#requestPromise(witness, journal, texts)) confirmed.add(witness.incarnation);
    });
    await Promise.all(requests);
    return confirmed;
  }

  async #requestPromise(
    witness: Member,
    journal: GuardedJournal,
    texts: readonly string[],
  ): Promise<boolean> {
    const { peers, partition, owner, settings } = this.#options;
    const { epoch, committedRecords: committed } = journal;
    const confirmedCount = this.#countConfirmedTexts(witness, texts);
    const position = {
      witness: witness.incarnation,
      epoch,
      committed,
      first: committed + confirmedCount,
      request: this.#requestNumber,
    };
    const request = {
      partition,
      epoch,
      owner,
      holdMilliseconds: settings.leaseMilliseconds,
      deferredRecords: encodeLog({ position, texts: texts.slice(confirmedCount) }),
    };
    const call = peers.confirmWitness(witness, request);
    const reply = await withPeerDeadline(call, settings.peerDeadlineMilliseconds);
    if (reply.isOk() && reply.value.kind === 'confirmed') {
      this.#confirmedTexts.set(witness.incarnation, texts);
      return true;
    }
    // The witness may have lost records that it confirmed, so the next request contains all of
    // them.
    this.#confirmedTexts.delete(witness.incarnation);
    return false;
  }

  /** Counts the leading texts that a witness has already confirmed. */
  #countConfirmedTexts({ incarnation }: Member, texts: readonly string[]): number {
    const confirmedTexts = this.#confirmedTexts.get(incarnation) ?? [];
    const firstDifference = texts.findIndex((text, position) => confirmedTexts[position] !== text);
    return firstDifference < 0 ? Math.min(texts.length, confirmedTexts.length) : firstDifference;
  }

  /** Whether a witness in another availability zone confirmed, if there is such a witness. */
  #hasCopyInOtherAvailabilityZone(
    witnesses: readonly Member[],
    confirmed: ReadonlySet<string>,
  ): boolean {
    const { availabilityZone } = this.#options.owner;
    const remoteWitnesses = witnesses.filter(
      (witness) => witness.availabilityZone !== availabilityZone,
    );
    if (remoteWitnesses.length === 0) return true;
    return remoteWitnesses.some(({ incarnation }) => confirmed.has(incarnation));
  }
}

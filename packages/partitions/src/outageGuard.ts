import type { Metrics } from '@limpetnotch/observability';
import { majorityOf } from './chooseWitnesses';
import { encodeLog } from './deferredLog';
import type { Member } from './member';
import type { PeerChannel } from './peerChannel';
import type { PartitionSettings } from './partitionSettings';
import { withPeerDeadline } from './util/withPeerDeadline';

/** Keeps records at witnesses while the store is out. */
export interface DeferredKeeper {
  /** Resolves to whether enough witnesses keep all the texts, the oldest first. */
  keep(journal: GuardedJournal, texts: readonly string[]): Promise<boolean>;
  /** The records that were kept are committed. */
  release(journal: GuardedJournal): void;
}

/** What the guard needs to know of the journal that it stands in for. */
export interface GuardedJournal {
  readonly epoch: number;
  /** Number of records that are certainly in the store. */
  readonly committedRecords: number;
  /** Lists of witnesses that may be in force: the committed one, and one that is being written. */
  readonly witnessLists: readonly (readonly Member[])[];
  /** Whether the head says that this epoch serves, so that a claimer looks for its records. */
  readonly isServing: boolean;
}

/** Options of an {@link OutageGuard}. */
export interface OutageGuardOptions {
  readonly partition: number;
  readonly owner: Member;
  readonly peers: PeerChannel;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  /** Time of the monotonic clock at which this instance's last lease ends or ended. */
  leaseEnd(): number;
}

/**
 * Lets an owner go on during an outage of the store while a majority of its witnesses confirm
 * that they cannot reach the store either, and has them keep the records.
 */
export class OutageGuard implements DeferredKeeper {
  readonly #options: OutageGuardOptions;

  /** Texts that each witness confirmed, by its incarnation. */
  readonly #kept = new Map<string, readonly string[]>();

  #request = 0;

  #promisedUntil = -Infinity;

  constructor(options: OutageGuardOptions) {
    this.#options = options;
  }

  /** Whether witnesses promised this owner that nobody else acts now. */
  isPromised(): boolean {
    return performance.now() < this.#promisedUntil;
  }

  async keep(journal: GuardedJournal, texts: readonly string[]): Promise<boolean> {
    const { settings, leaseEnd } = this.#options;
    const { outageLimitMilliseconds, leaseMilliseconds } = settings;
    const { witnessLists, isServing } = journal;
    const sentAt = performance.now();
    const outageEnd = leaseEnd() + outageLimitMilliseconds;
    if (!isServing || sentAt >= outageEnd) return false;
    const witnesses = OutageGuard.#distinct(witnessLists);
    const confirmed = await this.#askAll(witnesses, journal, texts);
    const isMajority = (list: readonly Member[]): boolean =>
      list.filter(({ incarnation }) => confirmed.has(incarnation)).length >= majorityOf(list);
    if (!witnessLists.every(isMajority)) return false;
    this.#promisedUntil = Math.min(sentAt + leaseMilliseconds, outageEnd);
    return this.#hasCopyElsewhere(witnesses, confirmed);
  }

  release({ epoch, witnessLists }: GuardedJournal): void {
    const { peers, partition, owner, settings } = this.#options;
    const request = { partition, epoch, owner, holdMilliseconds: 0, deferredRecords: [] };
    OutageGuard.#distinct(witnessLists).forEach((witness) => {
      // A witness that does not hear of it drops the records at the next takeover.
      void withPeerDeadline(
        peers.confirmWitness(witness, request),
        settings.peerDeadlineMilliseconds,
      );
    });
    this.#kept.clear();
  }

  static #distinct(lists: readonly (readonly Member[])[]): readonly Member[] {
    return [...new Map(lists.flat().map((witness) => [witness.incarnation, witness])).values()];
  }

  async #askAll(
    witnesses: readonly Member[],
    journal: GuardedJournal,
    texts: readonly string[],
  ): Promise<Set<string>> {
    this.#request += 1;
    const confirmed = new Set<string>();
    const asked = witnesses.map(async (witness) => {
      if (await this.#ask(witness, journal, texts)) confirmed.add(witness.incarnation);
    });
    await Promise.all(asked);
    return confirmed;
  }

  async #ask(witness: Member, journal: GuardedJournal, texts: readonly string[]): Promise<boolean> {
    const { peers, partition, owner, settings } = this.#options;
    const { epoch, committedRecords: committed } = journal;
    const skipped = this.#alreadyKept(witness, texts);
    const position = {
      witness: witness.incarnation,
      epoch,
      committed,
      first: committed + skipped,
      request: this.#request,
    };
    const request = {
      partition,
      epoch,
      owner,
      holdMilliseconds: settings.leaseMilliseconds,
      deferredRecords: encodeLog({ position, texts: texts.slice(skipped) }),
    };
    const call = peers.confirmWitness(witness, request);
    const reply = await withPeerDeadline(call, settings.peerDeadlineMilliseconds);
    if (reply.isOk() && reply.value.kind === 'confirmed') {
      this.#kept.set(witness.incarnation, texts);
      return true;
    }
    // It may lack records that it confirmed before: the next request carries them all.
    this.#kept.delete(witness.incarnation);
    return false;
  }

  /** Counts the first texts that a witness has confirmed already. */
  #alreadyKept({ incarnation }: Member, texts: readonly string[]): number {
    const kept = this.#kept.get(incarnation) ?? [];
    const differing = texts.findIndex((text, position) => kept[position] !== text);
    return differing < 0 ? Math.min(texts.length, kept.length) : differing;
  }

  /** Whether a copy is in another availability zone, as far as there is one. */
  #hasCopyElsewhere(witnesses: readonly Member[], confirmed: ReadonlySet<string>): boolean {
    const { availabilityZone } = this.#options.owner;
    const elsewhere = witnesses.filter((witness) => witness.availabilityZone !== availabilityZone);
    if (elsewhere.length === 0) return true;
    return elsewhere.some(({ incarnation }) => confirmed.has(incarnation));
  }
}

import type { Metrics } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { BulkAccess } from './bulkText';
import type { Claim } from './claimPartition';
import { deleteOrphans } from './deleteOrphans';
import type { JournalEnd } from './journalWriter';
import { JournalWriter } from './journalWriter';
import type { Membership } from './membership';
import { OutageGuard } from './outageGuard';
import type { OwnedPartition } from './ownedPartition';
import type { OwnedPartitions } from './ownedPartitions';
import type {
  JsonValue,
  PartitionHandler,
  PartitionState,
  RecoveredPartition,
  RestoreError,
} from './partitionHandler';
import type { PartitionSettings } from './partitionSettings';
import type { PeerChannel } from './peerChannel';
import type { RecoveredJournal, RecoverError } from './recoverJournal';
import { recoverJournal } from './recoverJournal';
import { settleTakeover } from './settleTakeover';
import type { Witness } from './witness';
import type { WriteAllowance } from './writeAllowance';

const READ_ATTEMPTS = 20;
const RETRY_MILLISECONDS = 250;

/** Why a claimed partition is not served; its data is left as it is. */
export type OpenError = RecoverError | RestoreError;

/** Options of a {@link PartitionOpener}. */
export interface PartitionOpenerOptions {
  readonly store: KeyValueStore;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  readonly handler: PartitionHandler;
  readonly allowance: WriteAllowance;
  readonly peers: PeerChannel;
  readonly membership: Membership;
  readonly witness: Witness;
  readonly owned: OwnedPartitions;
}

/** One claim to be opened. */
export interface OpenRequest {
  readonly partition: number;
  readonly claim: Claim;
  readonly signal: AbortSignal;
  /** Called when the journal takes no more records. */
  onEnd(end: JournalEnd): void;
}

/** Reads the journal of a claimed partition and has the handler build its state. */
export class PartitionOpener {
  readonly #options: PartitionOpenerOptions;

  constructor(options: PartitionOpenerOptions) {
    this.#options = options;
  }

  async open(request: OpenRequest): Promise<Result<OwnedPartition, OpenError>> {
    const access = this.#bulkAccess(request.signal);
    const [recovered, gathered] = await Promise.all([
      this.#recover(access, request),
      this.#gather(request),
    ]);
    if (recovered.isErr()) return err(recovered.error);
    const { snapshot, records } = recovered.value;
    const deferred = gathered.map((text) => JSON.parse(text) as JsonValue);
    const opened = this.#restore(request, { snapshot, records: [...records, ...deferred] });
    if (opened.isErr()) return err(opened.error);
    opened.value.writer.adopt(gathered);
    void PartitionOpener.#runWriter(opened.value.writer);
    void deleteOrphans(access, request.partition, request.claim.head);
    return ok(opened.value);
  }

  #restore(
    request: OpenRequest,
    recovered: RecoveredJournal,
  ): Result<OwnedPartition, RestoreError> {
    let state: PartitionState | undefined;
    const guard = this.#createGuard(request);
    const writer = new JournalWriter({
      ...this.#options,
      partition: request.partition,
      ...request.claim,
      deferred: guard,
      mayAct: () => this.#options.membership.isLeaseValid() || guard.isPromised(),
      // Not called before the state exists: the journal runs only after the restore.
      snapshot: () => (state as PartitionState).snapshot(),
      onEnd: request.onEnd,
    });
    const restored = this.#options.handler.restore({
      ...recovered,
      ...this.#previousOwner(request.claim),
      journal: writer,
    });
    if (restored.isErr()) writer.stop({ kind: 'released' });
    return restored.map((value) => {
      state = value;
      return { writer, state: value, guard };
    });
  }

  #createGuard({ partition, claim }: OpenRequest): OutageGuard {
    return new OutageGuard({
      ...this.#options,
      partition,
      owner: claim.head.owner,
      leaseEnd: () => this.#options.membership.leaseEnd(),
    });
  }

  /** Has the witnesses of the previous epoch take note, and collects what they kept for it. */
  #gather({ partition, claim, signal }: OpenRequest): Promise<readonly string[]> {
    const { head, previous } = claim;
    if (!previous || previous.handedOver) return Promise.resolve([]);
    const { witness, membership, owned } = this.#options;
    const ended = owned.lastEnded(partition);
    if (ended?.epoch === previous.epoch) {
      // This process was the previous owner itself: it knows that it acts no more.
      const { first, texts } = ended.leftOver;
      return Promise.resolve(texts.slice(previous.recordCount - first));
    }
    return settleTakeover({
      ...this.#options,
      notice: { partition, epoch: head.epoch, owner: head.owner },
      witnesses: previous.witnesses,
      servedEpoch: previous.servedEpoch,
      recordCount: previous.recordCount,
      signal,
      noteLocally: (notice) => witness.note(notice),
      isGone: (member) => membership.isGone(member),
    });
  }

  static async #runWriter(writer: JournalWriter): Promise<void> {
    try {
      await writer.run();
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      writer.stop({ kind: 'assertion-failed', detail });
    }
  }

  async #recover(
    access: BulkAccess,
    { claim, signal }: OpenRequest,
  ): Promise<Result<RecoveredJournal, RecoverError>> {
    const { snapshot, segments = [], inlineRecords = [] } = claim.previous ?? {};
    for (let attempt = 1; ; attempt += 1) {
      const recovered = await recoverJournal(access, { snapshot, segments, inlineRecords });
      if (recovered.isOk() || attempt === READ_ATTEMPTS || signal.aborted) return recovered;
      const { kind } = recovered.error;
      if (kind === 'missing-part' || kind === 'corrupt-text') return recovered;
      await delay(RETRY_MILLISECONDS, signal);
    }
  }

  #previousOwner({
    previous,
  }: Claim): Pick<RecoveredPartition, 'handedOver' | 'previousOwnerMayActUntilMilliseconds'> {
    if (!previous) return { handedOver: false, previousOwnerMayActUntilMilliseconds: 0 };
    if (previous.handedOver) return { handedOver: true, previousOwnerMayActUntilMilliseconds: 0 };
    const until = Date.now() + this.#options.settings.leaseMilliseconds;
    return { handedOver: false, previousOwnerMayActUntilMilliseconds: until };
  }

  #bulkAccess(signal: AbortSignal): BulkAccess {
    const { store, settings, allowance } = this.#options;
    return {
      store,
      deadlineMilliseconds: settings.storeDeadlineMilliseconds,
      beforeWrite: () => allowance.take(signal),
    };
  }
}

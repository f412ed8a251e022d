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
import type { WriteRateLimiter } from './writeRateLimiter';

const READ_ATTEMPTS = 20;
const RETRY_MILLISECONDS = 250;

/** Reason why a claimed partition is not served; its data remains unchanged. */
export type OpenError = RecoverError | RestoreError;

/** Options of a {@link PartitionOpener}. */
export interface PartitionOpenerOptions {
  readonly store: KeyValueStore;
  readonly settings: PartitionSettings;
  readonly metrics: Metrics;
  readonly handler: PartitionHandler;
  readonly writeRateLimiter: WriteRateLimiter;
  readonly peers: PeerChannel;
  readonly membership: Membership;
  readonly witness: Witness;
  readonly owned: OwnedPartitions;
}

/** A claimed partition to be opened. */
export interface OpenRequest {
  readonly partition: number;
  readonly claim: Claim;
  readonly signal: AbortSignal;
  /** Called when the journal accepts no more records. */
  onEnd(end: JournalEnd): void;
}

/** Reads the journal of a claimed partition and restores its state with the handler. */
export class PartitionOpener {
  readonly #options: PartitionOpenerOptions;

  constructor(options: PartitionOpenerOptions) {
    this.#options = options;
  }

  async open(request: OpenRequest): Promise<Result<OwnedPartition, OpenError>> {
    const access = this.#createBulkAccess(request.signal);
    const [recovered, deferredTexts] = await Promise.all([
      this.#recoverWithRetries(access, request),
      this.#collectDeferredTexts(request),
    ]);
    if (recovered.isErr()) return err(recovered.error);
    const { snapshot, records } = recovered.value;
    const deferredRecords = deferredTexts.map((text) => JSON.parse(text) as JsonValue);
    const opened = this.#restore(request, { snapshot, records: [...records, ...deferredRecords] });
    if (opened.isErr()) return err(opened.error);
    opened.value.writer.enqueueRecovered(deferredTexts);
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
      deferredReplicator: guard,
      mayAct: () => this.#options.membership.isLeaseValid() || guard.hasPromise(),
      // Never called before the state exists, since the journal runs only after the restore.
      snapshot: () => (state as PartitionState).snapshot(),
      onEnd: request.onEnd,
    });
    const restored = this.#options.handler.restore({
      ...recovered,
      ...this.#describePreviousOwner(request.claim),
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
      getLeaseEnd: () => this.#options.membership.getLeaseEnd(),
    });
  }

  /**
   * Announces the takeover to the witnesses of the previous epoch, and collects its deferred
   * records.
   */
  #collectDeferredTexts({ partition, claim, signal }: OpenRequest): Promise<readonly string[]> {
    const { head, previous } = claim;
    if (!previous || previous.handedOver) return Promise.resolve([]);
    const { witness, membership, owned } = this.#options;
    const endedWriter = owned.getLastEndedWriter(partition);
    if (endedWriter?.epoch === previous.epoch) {
      // This process was the previous owner itself, and knows that it no longer acts.
      const { firstRecordNumber, texts } = endedWriter.uncommitted;
      return Promise.resolve(texts.slice(previous.recordCount - firstRecordNumber));
    }
    return settleTakeover({
      ...this.#options,
      notice: { partition, epoch: head.epoch, owner: head.owner },
      witnesses: previous.witnesses,
      servedEpoch: previous.servedEpoch,
      recordCount: previous.recordCount,
      signal,
      handleTakeoverLocally: (notice) => witness.handleTakeover(notice),
      hasEnded: (member) => membership.hasEnded(member),
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

  async #recoverWithRetries(
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

  #describePreviousOwner({
    previous,
  }: Claim): Pick<RecoveredPartition, 'handedOver' | 'previousOwnerMayActUntilMilliseconds'> {
    if (!previous) return { handedOver: false, previousOwnerMayActUntilMilliseconds: 0 };
    if (previous.handedOver) return { handedOver: true, previousOwnerMayActUntilMilliseconds: 0 };
    const until = Date.now() + this.#options.settings.leaseMilliseconds;
    return { handedOver: false, previousOwnerMayActUntilMilliseconds: until };
  }

  #createBulkAccess(signal: AbortSignal): BulkAccess {
    const { store, settings, writeRateLimiter } = this.#options;
    return {
      store,
      deadlineMilliseconds: settings.storeDeadlineMilliseconds,
      beforeWrite: () => writeRateLimiter.acquire(signal),
    };
  }
}

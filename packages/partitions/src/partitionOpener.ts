import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/platform';
import { delay } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { BulkAccess } from './bulkText';
import type { Claim } from './claimPartition';
import { deleteOrphans } from './deleteOrphans';
import type { JournalEnd } from './journalWriter';
import { JournalWriter } from './journalWriter';
import type { OwnedPartition } from './ownedPartition';
import type { PartitionHandler, PartitionState, RestoreError } from './partitionHandler';
import type { PartitionSettings } from './partitionSettings';
import type { RecoveredJournal, RecoverError } from './recoverJournal';
import { recoverJournal } from './recoverJournal';
import type { WriteAllowance } from './writeAllowance';

const READ_ATTEMPTS = 20;
const RETRY_MILLISECONDS = 250;

/** Why a claimed partition is not served; its data is left as it is. */
export type OpenError = RecoverError | RestoreError;

/** Options of a {@link PartitionOpener}. */
export interface PartitionOpenerOptions {
  readonly store: KeyValueStore;
  readonly settings: PartitionSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly handler: PartitionHandler;
  readonly allowance: WriteAllowance;
}

/** Reads the journal of a claimed partition and has the handler build its state. */
export class PartitionOpener {
  readonly #options: PartitionOpenerOptions;

  constructor(options: PartitionOpenerOptions) {
    this.#options = options;
  }

  /** Opens a partition; `onEnd` is called when its journal takes no more records. */
  async open(
    partition: number,
    claim: Claim,
    signal: AbortSignal,
    onEnd: (end: JournalEnd) => void,
  ): Promise<Result<OwnedPartition, OpenError>> {
    const access = this.#bulkAccess(signal);
    const recovered = await this.#recover(access, claim, signal);
    if (recovered.isErr()) return err(recovered.error);
    let state: PartitionState | undefined;
    const writer = new JournalWriter({
      ...this.#options,
      partition,
      head: claim.head,
      revision: claim.revision,
      // Not called before the state exists: the journal runs only after the restore.
      snapshot: () => (state as PartitionState).snapshot(),
      onEnd,
    });
    const restored = this.#options.handler.restore({
      ...recovered.value,
      journal: writer,
      ...this.#previousOwner(claim),
    });
    if (restored.isErr()) {
      writer.stop({ kind: 'released' });
      return err(restored.error);
    }
    state = restored.value;
    void this.#runWriter(writer);
    void deleteOrphans(access, partition, claim.head);
    return ok({ writer, state });
  }

  async #runWriter(writer: JournalWriter): Promise<void> {
    try {
      await writer.run();
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      writer.stop({ kind: 'assertion-failed', detail });
    }
  }

  async #recover(
    access: BulkAccess,
    { head, previous }: Claim,
    signal: AbortSignal,
  ): Promise<Result<RecoveredJournal, RecoverError>> {
    const inlineRecords = previous?.inlineRecords ?? [];
    const source = { snapshot: head.snapshot, segments: [...head.segments], inlineRecords };
    for (let attempt = 1; ; attempt += 1) {
      const recovered = await recoverJournal(access, source);
      if (recovered.isOk() || attempt === READ_ATTEMPTS || signal.aborted) return recovered;
      const { kind } = recovered.error;
      if (kind === 'missing-part' || kind === 'corrupt-text') return recovered;
      await delay(RETRY_MILLISECONDS, signal);
    }
  }

  #previousOwner({ previous }: Claim): {
    readonly handedOver: boolean;
    readonly previousOwnerMayActUntilMilliseconds: number;
  } {
    if (!previous || previous.handedOver) {
      return { handedOver: previous !== undefined, previousOwnerMayActUntilMilliseconds: 0 };
    }
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

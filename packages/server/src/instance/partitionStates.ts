import type { Configuration } from '@limpetnotch/declarations';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type {
  JsonValue,
  PartitionHandler,
  PartitionJournal,
  PartitionState,
  RecoveredPartition,
  RestoreError,
} from '@limpetnotch/partitions';
import type { Journal } from '@limpetnotch/programs';
import { ProgramLedger } from '@limpetnotch/programs';
import type { Result } from 'neverthrow';
import { OwnedPartition } from '../owner/ownedPartition';

/** Options of {@link PartitionStates}. */
export interface PartitionStatesOptions {
  readonly configuration: () => Configuration;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Journal of a partition as the programs see it: their records are JSON values. */
const journalOf = (journal: PartitionJournal): Journal => ({
  partition: journal.partition,
  epoch: journal.epoch,
  append: (records) => journal.append(records as unknown as readonly JsonValue[]),
});

/** Builds the ledger and the rates of each partition that this instance comes to own. */
export class PartitionStates implements PartitionHandler {
  readonly #options: PartitionStatesOptions;

  constructor(options: PartitionStatesOptions) {
    this.#options = options;
  }

  restore(recovered: RecoveredPartition): Result<PartitionState, RestoreError> {
    const { logger, metrics } = this.#options;
    const { journal, snapshot, records, previousOwnerMayActUntilMilliseconds } = recovered;
    const restored = ProgramLedger.restore({
      journal: journalOf(journal),
      logger,
      metrics,
      snapshot,
      records,
    });
    return restored
      .map(
        (ledger) =>
          new OwnedPartition({
            partition: journal.partition,
            epoch: journal.epoch,
            ledger,
            previousOwnerMayActUntilMilliseconds,
          }),
      )
      .mapErr((error) => ({ kind: 'corrupt-state', detail: error.detail }));
  }
}

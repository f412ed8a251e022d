import { RateOwner, SLICE_LIFETIME_MILLISECONDS } from '@limpetnotch/admission';
import type { Configuration } from '@limpetnotch/declarations';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type {
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

/** Options of {@link PartitionStateFactory}. */
export interface PartitionStateFactoryOptions {
  readonly getConfiguration: () => Configuration;
  /** Whether this instance may currently grant rates of a partition. */
  readonly mayAct: (partition: number) => boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Adapts the journal of a partition to programs, whose records are JSON values. */
const toProgramJournal = (journal: PartitionJournal): Journal => ({
  partition: journal.partition,
  epoch: journal.epoch,
  append: (records) => journal.append(records),
});

/** Restores the ledger and creates the rates of each partition that this instance acquires. */
export class PartitionStateFactory implements PartitionHandler {
  readonly #options: PartitionStateFactoryOptions;

  constructor(options: PartitionStateFactoryOptions) {
    this.#options = options;
  }

  restore(recovered: RecoveredPartition): Result<PartitionState, RestoreError> {
    const { logger, metrics } = this.#options;
    const { journal, snapshot, records, previousOwnerMayActUntilMilliseconds } = recovered;
    const restored = ProgramLedger.restore({
      journal: toProgramJournal(journal),
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
            rates: this.#createRateOwner(recovered),
            previousOwnerMayActUntilMilliseconds,
          }),
      )
      .mapErr((error) => ({ kind: 'corrupt-state', detail: error.detail }));
  }

  /** Rates start without a burst, once the slices of a previous owner have expired. */
  #createRateOwner(recovered: RecoveredPartition): RateOwner {
    const { getConfiguration, mayAct, metrics } = this.#options;
    const { journal, handedOver, previousOwnerMayActUntilMilliseconds } = recovered;
    const hadOwner = handedOver || previousOwnerMayActUntilMilliseconds > 0;
    const previousOwnerEnd = Math.max(Date.now(), previousOwnerMayActUntilMilliseconds);
    return new RateOwner({
      rateOf: (organisation) => getConfiguration().organisations.get(organisation)?.rate,
      grantsFromMilliseconds: hadOwner ? previousOwnerEnd + SLICE_LIFETIME_MILLISECONDS : 0,
      mayAct: () => mayAct(journal.partition),
      metrics,
    });
  }
}

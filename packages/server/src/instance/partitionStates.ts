import { RateOwner, SLICE_LIFE_MILLISECONDS } from '@limpetnotch/admission';
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

/** Options of {@link PartitionStates}. */
export interface PartitionStatesOptions {
  readonly configuration: () => Configuration;
  /** Whether this instance may grant rates of a partition now. */
  readonly mayAct: (partition: number) => boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Journal of a partition as the programs see it: their records are JSON values. */
const journalOf = (journal: PartitionJournal): Journal => ({
  partition: journal.partition,
  epoch: journal.epoch,
  append: (records) => journal.append(records),
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
            rates: this.#rateOwner(recovered),
            previousOwnerMayActUntilMilliseconds,
          }),
      )
      .mapErr((error) => ({ kind: 'corrupt-state', detail: error.detail }));
  }

  /** The rates start without a burst once the slices of a former owner are over. */
  #rateOwner(recovered: RecoveredPartition): RateOwner {
    const { configuration, mayAct, metrics } = this.#options;
    const { journal, handedOver, previousOwnerMayActUntilMilliseconds } = recovered;
    const hadOwner = handedOver || previousOwnerMayActUntilMilliseconds > 0;
    const formerEnd = Math.max(Date.now(), previousOwnerMayActUntilMilliseconds);
    return new RateOwner({
      rateOf: (organisation) => configuration().organisations.get(organisation)?.rate,
      grantsFromMilliseconds: hadOwner ? formerEnd + SLICE_LIFE_MILLISECONDS : 0,
      mayAct: () => mayAct(journal.partition),
      metrics,
    });
  }
}

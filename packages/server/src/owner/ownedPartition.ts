import type { RateOwner } from '@limpetnotch/admission';
import type { JsonValue, PartitionState } from '@limpetnotch/partitions';
import type { ProgramLedger } from '@limpetnotch/programs';

/** Options of {@link OwnedPartition}. */
export interface OwnedPartitionOptions {
  readonly partition: number;
  readonly epoch: number;
  readonly ledger: ProgramLedger;
  readonly rates: RateOwner;
  /** Time until which the previous owner may still act, in milliseconds by `Date.now`. */
  readonly previousOwnerMayActUntilMilliseconds: number;
}

/**
 * State of a partition at its owner: the ledger of its programs and the rates of its organisations.
 */
export class OwnedPartition implements PartitionState {
  readonly partition: number;

  readonly epoch: number;

  readonly #lossController = new AbortController();

  readonly ledger: ProgramLedger;

  readonly rates: RateOwner;

  readonly previousOwnerMayActUntilMilliseconds: number;

  constructor(options: OwnedPartitionOptions) {
    this.partition = options.partition;
    this.epoch = options.epoch;
    this.ledger = options.ledger;
    this.rates = options.rates;
    this.previousOwnerMayActUntilMilliseconds = options.previousOwnerMayActUntilMilliseconds;
  }

  /**
   * Aborts when ownership of the partition is lost, so that its calls dispatch no more attempts.
   */
  get lossSignal(): AbortSignal {
    return this.#lossController.signal;
  }

  snapshot(): JsonValue {
    return this.ledger.snapshot();
  }

  async drain(): Promise<void> {
    await this.ledger.drain();
  }

  stop(): void {
    this.#lossController.abort();
    this.ledger.stop();
  }
}

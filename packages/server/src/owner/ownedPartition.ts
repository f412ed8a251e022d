import type { RateOwner } from '@limpetnotch/admission';
import type { JsonValue, PartitionState } from '@limpetnotch/partitions';
import type { ProgramLedger } from '@limpetnotch/programs';

/** Time after which an ownership counts as settled, in milliseconds since the epoch of the clock. */
export interface OwnedPartitionOptions {
  readonly partition: number;
  readonly epoch: number;
  readonly ledger: ProgramLedger;
  readonly rates: RateOwner;
  /** Time until which the previous owner may still act, by `Date.now`. */
  readonly previousOwnerMayActUntilMilliseconds: number;
}

/** State of one partition at its owner: the programs' ledger and the organisations' rates. */
export class OwnedPartition implements PartitionState {
  readonly partition: number;

  readonly epoch: number;

  readonly #lost = new AbortController();

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

  /** Aborts when the partition is owned no more: its calls dispatch nothing further. */
  get lost(): AbortSignal {
    return this.#lost.signal;
  }

  snapshot(): JsonValue {
    return this.ledger.snapshot();
  }

  async drain(): Promise<void> {
    await this.ledger.drain();
  }

  stop(): void {
    this.#lost.abort();
    this.ledger.stop();
  }
}

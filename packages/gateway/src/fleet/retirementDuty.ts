import type { Logger } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import { compareAndSwapUntilKnown } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import type { FleetCodec } from './fleetCodec';

/** Each further instance waits this much longer, so that mostly the first one writes. */
const RANK_DELAY_MILLISECONDS = 400;

/** A report that fails is given up after this time; the next start reads the request again. */
const REPORT_TIMEOUT_MILLISECONDS = 20_000;

/** Parts of a {@link RetirementDuty}. */
export interface RetirementDutyParts {
  readonly store: KeyValueStore;
  readonly codec: FleetCodec;
  readonly logger: Logger;
  /** Rank of this instance among those present, from 0. */
  readonly rank: () => number;
}

/**
 * Reports storage instances as empty: nothing is kept there, so that one may go at once. The first
 * instance present reports; the others follow in case it is gone.
 */
export class RetirementDuty {
  readonly #parts: RetirementDutyParts;

  readonly #reported = new Set<string>();

  constructor(parts: RetirementDutyParts) {
    this.#parts = parts;
  }

  /** Reports one instance as empty, once. */
  async retire(instance: string): Promise<void> {
    if (this.#reported.has(instance)) return;
    this.#reported.add(instance);
    const { store, codec, logger, rank } = this.#parts;
    await delay(rank() * RANK_DELAY_MILLISECONDS);
    const { key, value } = codec.encodeRetired(instance);
    const written = await compareAndSwapUntilKnown({
      store,
      request: { key, value, expectedRevision: 0 },
      isOwnWrite: (entry) => entry.value === value,
      signal: AbortSignal.timeout(REPORT_TIMEOUT_MILLISECONDS),
    });
    const outcome = written.isOk() ? written.value.kind : written.error.kind;
    logger.info('retirement.reported', { retired: instance, outcome });
  }
}

import type { Logger } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import { compareAndSwapUntilKnown } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import type { FleetCodec } from './fleetCodec';

/** Additional delay per rank, so that usually only the first instance writes. */
const RANK_DELAY_MILLISECONDS = 400;

/** Time after which a failing report is abandoned; the next start reads the request again. */
const REPORT_TIMEOUT_MILLISECONDS = 20_000;

/** Parts of a {@link RetirementReporter}. */
export interface RetirementReporterParts {
  readonly store: KeyValueStore;
  readonly codec: FleetCodec;
  readonly logger: Logger;
  /** Rank of this instance among those present, from 0. */
  readonly rank: () => number;
}

/**
 * Reports storage instances as empty: they store nothing, so they can be removed immediately. The
 * first instance that is present reports; the others follow in case it has failed.
 */
export class RetirementReporter {
  readonly #parts: RetirementReporterParts;

  readonly #reported = new Set<string>();

  constructor(parts: RetirementReporterParts) {
    this.#parts = parts;
  }

  /** Reports one instance as empty, once. */
  async report(instance: string): Promise<void> {
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

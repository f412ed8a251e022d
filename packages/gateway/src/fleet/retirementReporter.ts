import type { Logger } from '@limpetnotch/observability';
import type { KeyValueStore } from '@limpetnotch/store';
import { compareAndSwapUntilKnown } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import { STORAGE_KEYS_PREFIX } from '@limpetnotch/turns';
import type { FleetCodec } from './fleetCodec';

/** Additional delay per rank, so that usually only the first instance writes. */
const RANK_DELAY_MILLISECONDS = 400;

/** Time after which a failing report is abandoned; the next start reads the request again. */
const REPORT_TIMEOUT_MILLISECONDS = 20_000;

const RETRY_MILLISECONDS = 500;

/** Parts of a {@link RetirementReporter}. */
export interface RetirementReporterParts {
  readonly store: KeyValueStore;
  readonly codec: FleetCodec;
  readonly logger: Logger;
  /** Rank of this instance among those present, from 0. */
  readonly rank: () => number;
}

/**
 * Reports storage instances as empty where nothing was ever stored. Storage instances report their own
 * retirement and that of absent ones; only a system without any has none that could report. The first
 * instance that is present reports; the others follow in case it has failed.
 */
export class RetirementReporter {
  readonly #parts: RetirementReporterParts;

  readonly #reported = new Set<string>();

  constructor(parts: RetirementReporterParts) {
    this.#parts = parts;
  }

  /** Reports one instance as empty, once, if the store shows that no instance may hold turns. */
  async report(instance: string): Promise<void> {
    if (this.#reported.has(instance)) return;
    this.#reported.add(instance);
    const { store, codec, logger, rank } = this.#parts;
    const signal = AbortSignal.timeout(REPORT_TIMEOUT_MILLISECONDS);
    await delay(rank() * RANK_DELAY_MILLISECONDS);
    if (!(await this.#isStorageUnused(signal))) {
      logger.info('retirement.left-to-storage', { retired: instance });
      return;
    }
    const { key, value } = codec.encodeRetired(instance);
    const written = await compareAndSwapUntilKnown({
      store,
      request: { key, value, expectedRevision: 0 },
      isOwnWrite: (entry) => entry.value === value,
      signal,
    });
    const outcome = written.isOk() ? written.value.kind : written.error.kind;
    logger.info('retirement.reported', { retired: instance, outcome });
  }

  /** Whether no storage instance is present or was ever entered as one that may hold turns. */
  async #isStorageUnused(signal: AbortSignal): Promise<boolean> {
    while (!signal.aborted) {
      const listing = await this.#parts.store.list(STORAGE_KEYS_PREFIX);
      if (listing.isOk()) return listing.value.entries.length === 0;
      await delay(RETRY_MILLISECONDS, signal);
    }
    return false;
  }
}

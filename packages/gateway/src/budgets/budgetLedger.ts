import { randomUUID } from 'node:crypto';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreEntry } from '@limpetnotch/store';
import { boundStoreCall, compareAndSwapUntilKnown } from '@limpetnotch/store';
import { BUDGET_PREFIX } from './programBudget';
import type { ProgramBudget } from './programBudget';
import type { StoredBudget } from './storedBudget';
import { parseStoredBudget } from './storedBudget';

/** A turn waits at most this long for the store; a slow one answers within 250 ms. */
const CALL_TIMEOUT_MILLISECONDS = 400;

/** After a failed call the store is tried this often, beside the turns, which ask peers meanwhile. */
const PROBE_MILLISECONDS = 300;

/** How a change of a budget's key ended. */
export type LedgerOutcome = 'done' | 'conflict' | 'failed';

/** State of a budget that the store doesn't know yet. */
export const firstState = ({
  limitTokens,
  presumedTokens,
}: ProgramBudget): Omit<StoredBudget, 'writeId'> => ({
  limitTokens,
  grantedTokens: presumedTokens,
  presumedTokens,
});

/** Parts of a {@link BudgetLedger}. */
export interface BudgetLedgerParts {
  readonly store: KeyValueStore;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Token budgets in the store: one key for each program, changed by compare-and-swap. */
export class BudgetLedger {
  readonly #parts: BudgetLedgerParts;

  /** When the store is probed next; undefined while it answers. */
  #nextProbeMilliseconds: number | undefined;

  constructor(parts: BudgetLedgerParts) {
    this.#parts = parts;
  }

  /** Whether the last call was answered. Where not, the store is probed once in a while. */
  isReachable(): boolean {
    if (this.#nextProbeMilliseconds === undefined) return true;
    if (performance.now() >= this.#nextProbeMilliseconds) {
      this.#suspect();
      void this.#probe();
    }
    return false;
  }

  /** Reads the state anew; returns false where the store gave none. */
  async refresh(budget: ProgramBudget): Promise<boolean> {
    const read = await boundStoreCall(
      this.#parts.store.read(budget.key),
      CALL_TIMEOUT_MILLISECONDS,
    );
    if (read.isErr()) {
      this.#suspect();
      return false;
    }
    this.#nextProbeMilliseconds = undefined;
    return this.#see(budget, read.value);
  }

  /** Keys of all programs that the store knows; undefined where it gave no answer. */
  async listKeys(): Promise<readonly string[] | undefined> {
    const listing = await this.#parts.store.list(BUDGET_PREFIX);
    return listing.isOk() ? listing.value.entries.map(({ key }) => key) : undefined;
  }

  /**
   * Adds to the granted tokens what was granted without the store, and a further number, which may
   * be negative, by one compare-and-swap.
   */
  async change(budget: ProgramBudget, tokens: number): Promise<LedgerOutcome> {
    const { store, metrics, logger } = this.#parts;
    const before = budget.seen?.state ?? firstState(budget);
    const presumed = Math.min(before.presumedTokens, budget.unrecordedTokens);
    const granted = before.grantedTokens - presumed + budget.unrecordedTokens + tokens;
    const state: StoredBudget = {
      limitTokens: before.limitTokens,
      grantedTokens: Math.max(0, granted),
      presumedTokens: before.presumedTokens - presumed,
      writeId: randomUUID(),
    };
    metrics.increment('budget.writes');
    const swap = compareAndSwapUntilKnown({
      store,
      request: {
        key: budget.key,
        expectedRevision: budget.seen?.revision ?? 0,
        value: JSON.stringify(state),
      },
      isOwnWrite: (entry) => parseStoredBudget(entry)?.writeId === state.writeId,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
    });
    const written = await boundStoreCall(swap, CALL_TIMEOUT_MILLISECONDS);
    if (written.isErr()) {
      this.#suspect();
      logger.info('budget.write-failed', { error: written.error.kind, tokens });
      return 'failed';
    }
    this.#nextProbeMilliseconds = undefined;
    if (written.value.kind === 'conflict') {
      return this.#see(budget, written.value.current) ? 'conflict' : 'failed';
    }
    const known = budget;
    known.seen = { state, revision: written.value.revision };
    known.unrecordedTokens = 0;
    return 'done';
  }

  #suspect(): void {
    this.#nextProbeMilliseconds = performance.now() + PROBE_MILLISECONDS;
  }

  async #probe(): Promise<void> {
    const read = await this.#parts.store.read(BUDGET_PREFIX);
    if (read.isOk()) this.#nextProbeMilliseconds = undefined;
  }

  #see(budget: ProgramBudget, entry: StoreEntry | undefined): boolean {
    const state = entry && parseStoredBudget(entry);
    if (entry && !state) {
      this.#parts.logger.error('budget.unreadable', { key: entry.key, revision: entry.revision });
      return false;
    }
    const known = budget;
    known.seen = entry && state ? { state, revision: entry.revision } : undefined;
    return true;
  }
}

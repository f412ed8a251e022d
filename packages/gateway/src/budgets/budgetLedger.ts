import { randomUUID } from 'node:crypto';
import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreEntry } from '@limpetnotch/store';
import { boundStoreCall, compareAndSwapUntilKnown } from '@limpetnotch/store';
import { BUDGET_PREFIX } from './programBudget';
import type { ProgramBudget } from './programBudget';
import type { StoredBudget } from './storedBudget';
import { parseStoredBudget } from './storedBudget';

/** Maximum time a turn waits for the store; a slow store responds within 250 ms. */
const CALL_TIMEOUT_MILLISECONDS = 400;

/**
 * Interval between probes of the store after a failed call. Probes run in the background; turns
 * query peers in the meantime.
 */
const PROBE_MILLISECONDS = 300;

/** Outcome of a change to a budget's key. */
export type LedgerOutcome = 'done' | 'conflict' | 'failed';

/** Returns the state of a budget that is not in the store yet. */
export const createInitialState = ({
  limitTokens,
  presumedTokens,
}: ProgramBudget): Omit<StoredBudget, 'writeId'> => ({
  limitTokens,
  grantedTokens: presumedTokens,
  presumedTokens,
  holders: [],
});

/** Parts of a {@link BudgetLedger}. */
export interface BudgetLedgerParts {
  readonly store: KeyValueStore;
  /** Name of this instance, as in the lists of members. */
  readonly instance: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when the store did not respond. */
  readonly onLoss: () => void;
}

/** Token budgets in the store: one key per program, changed by compare-and-swap. */
export class BudgetLedger {
  readonly #parts: BudgetLedgerParts;

  /** Time of the next probe of the store; undefined while the store responds. */
  #nextProbeMilliseconds: number | undefined;

  constructor(parts: BudgetLedgerParts) {
    this.#parts = parts;
  }

  /** Whether the last store call succeeded. Starts a probe when one is due after a failed call. */
  isReachable(): boolean {
    if (this.#nextProbeMilliseconds === undefined) return true;
    if (performance.now() >= this.#nextProbeMilliseconds) {
      this.#scheduleProbe();
      void this.#probe();
    }
    return false;
  }

  /** Reads the state again; returns false if the store returned no readable state. */
  async refresh(budget: ProgramBudget): Promise<boolean> {
    const read = await boundStoreCall(
      this.#parts.store.read(budget.key),
      CALL_TIMEOUT_MILLISECONDS,
    );
    if (read.isErr()) {
      this.#scheduleProbe();
      return false;
    }
    this.#nextProbeMilliseconds = undefined;
    return this.#applyEntry(budget, read.value);
  }

  /** Lists the keys of all budgets in the store; undefined if the store did not respond. */
  async listKeys(): Promise<readonly string[] | undefined> {
    const listing = await this.#parts.store.list(BUDGET_PREFIX);
    return listing.isOk() ? listing.value.entries.map(({ key }) => key) : undefined;
  }

  /**
   * Adds the tokens that were granted without the store and a further number, which may be negative,
   * to the granted tokens in one compare-and-swap.
   */
  async change(budget: ProgramBudget, tokens: number): Promise<LedgerOutcome> {
    const { store, metrics, logger, instance } = this.#parts;
    const before = budget.stored?.state ?? createInitialState(budget);
    const presumed = Math.min(before.presumedTokens, budget.unrecordedTokens);
    const granted = before.grantedTokens - presumed + budget.unrecordedTokens + tokens;
    const holders = before.holders && [...new Set([...before.holders, instance])];
    const state: StoredBudget = {
      limitTokens: before.limitTokens,
      grantedTokens: Math.max(0, granted),
      presumedTokens: before.presumedTokens - presumed,
      ...(holders && { holders }),
      writeId: randomUUID(),
    };
    metrics.increment('budget.writes');
    const swap = compareAndSwapUntilKnown({
      store,
      request: {
        key: budget.key,
        expectedRevision: budget.stored?.revision ?? 0,
        value: JSON.stringify(state),
      },
      isOwnWrite: (entry) => parseStoredBudget(entry)?.writeId === state.writeId,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MILLISECONDS),
    });
    const written = await boundStoreCall(swap, CALL_TIMEOUT_MILLISECONDS);
    if (written.isErr()) {
      this.#scheduleProbe();
      logger.info('budget.write-failed', { error: written.error.kind, tokens });
      return 'failed';
    }
    this.#nextProbeMilliseconds = undefined;
    if (written.value.kind === 'conflict') {
      return this.#applyEntry(budget, written.value.current) ? 'conflict' : 'failed';
    }
    const mutableBudget = budget;
    mutableBudget.stored = { state, revision: written.value.revision };
    mutableBudget.unrecordedTokens = 0;
    return 'done';
  }

  /** Tries the store now if the last call failed. */
  async probe(): Promise<void> {
    if (this.#nextProbeMilliseconds !== undefined) await this.#probe();
  }

  #scheduleProbe(): void {
    this.#nextProbeMilliseconds = performance.now() + PROBE_MILLISECONDS;
    this.#parts.onLoss();
  }

  async #probe(): Promise<void> {
    const read = await this.#parts.store.read(BUDGET_PREFIX);
    if (read.isOk()) this.#nextProbeMilliseconds = undefined;
  }

  #applyEntry(budget: ProgramBudget, entry: StoreEntry | undefined): boolean {
    const state = entry && parseStoredBudget(entry);
    if (entry && !state) {
      this.#parts.logger.error('budget.unreadable', { key: entry.key, revision: entry.revision });
      return false;
    }
    const mutableBudget = budget;
    mutableBudget.stored = entry && state ? { state, revision: entry.revision } : undefined;
    return true;
  }
}

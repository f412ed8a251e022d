import type { Logger } from '@limpetnotch/observability';
import type { QuarantineEntry } from '@limpetnotch/scheduling';
import { mergeQuarantineEntries, quarantineEntrySchema } from '@limpetnotch/scheduling';
import type { KeyValueStore, StoreEntry } from '@limpetnotch/store';
import { boundStoreCall, parseJson } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay, WakeSignal } from '@limpetnotch/supervision';
import type { RequestQuarantine } from './requestQuarantine';

/** Prefix of the keys in the store; the rest of a key is the digest of its request. */
export const QUARANTINE_PREFIX = 'limpetnotch/quarantine/';

/** A slow store responds within 250 ms. */
const STORE_CALL_TIMEOUT_MILLISECONDS = 1_000;

/** Delay after a failed write, for example while the store is unavailable. */
const RETRY_DELAY_MILLISECONDS = 500;

/** Maximum number of entries waiting to be written; the oldest are dropped beyond this number. */
const MAXIMUM_PENDING_WRITES = 1_000;

const SHORTEST_LEASE_MILLISECONDS = 1_000;

/** Outcome of writing an entry. */
type WriteOutcome = 'done' | 'conflict' | 'failed';

/** An entry as it is stored. */
interface StoredEntry {
  readonly entry: QuarantineEntry;
  readonly revision: number;
}

/** Dependencies of a {@link QuarantineLedger}. */
export interface QuarantineLedgerParts {
  readonly store: KeyValueStore;
  readonly quarantine: RequestQuarantine;
  readonly logger: Logger;
}

const digestOf = (key: string): string => key.slice(QUARANTINE_PREFIX.length);

const includesEntry = (one: QuarantineEntry, other: QuarantineEntry): boolean =>
  JSON.stringify(mergeQuarantineEntries(one, other)) === JSON.stringify(one);

/**
 * The quarantine in the store, which outlives all instances: one key per request, which expires with
 * its lease. Entries are merged, so writes may be repeated and arrive in any order.
 */
export class QuarantineLedger {
  readonly #parts: QuarantineLedgerParts;

  readonly #stored = new Map<string, StoredEntry>();

  readonly #pending = new Map<string, QuarantineEntry>();

  readonly #wakeSignal = new WakeSignal();

  constructor(parts: QuarantineLedgerParts) {
    this.#parts = parts;
  }

  /** Task that writes entries, retrying until the store has accepted them. */
  get task(): ChildSpecification {
    return { name: 'quarantine', restart: 'always', run: (context) => this.#run(context) };
  }

  /** Queues an entry to be written. */
  write(entry: QuarantineEntry): void {
    const { requestDigest: digest } = entry;
    const pending = this.#pending.get(digest);
    this.#pending.set(digest, pending ? mergeQuarantineEntries(pending, entry) : entry);
    const [oldest] = this.#pending.keys();
    if (this.#pending.size > MAXIMUM_PENDING_WRITES && oldest !== undefined) {
      this.#pending.delete(oldest);
      this.#parts.logger.warn('quarantine.not-written', { digest: oldest, reason: 'too many' });
    }
    this.#wakeSignal.wake();
  }

  /** Replaces all entries by those listed in the store. */
  replaceAll(entries: readonly StoreEntry[]): void {
    this.#stored.clear();
    entries.forEach((entry) => this.read(entry));
  }

  /** Applies an entry of the store that was read or received from a watch. */
  read({ key, value, revision }: StoreEntry): void {
    const entry = parseJson(quarantineEntrySchema, value);
    if (!entry) {
      this.#parts.logger.warn('quarantine.unreadable', { key, revision });
      return;
    }
    this.#stored.set(digestOf(key), { entry, revision });
    this.#parts.quarantine.mergeEntry(entry, 'store');
  }

  /** Removes a key that is no longer in the store. */
  forget(key: string): void {
    this.#stored.delete(digestOf(key));
  }

  async #run({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      const [next] = this.#pending;
      if (next) {
        await this.#writeNext(...next, signal);
      } else {
        await this.#wakeSignal.wait(signal);
      }
    }
  }

  async #writeNext(digest: string, entry: QuarantineEntry, signal: AbortSignal): Promise<void> {
    const outcome = await this.#write(digest, entry);
    // A newer entry may have been queued in the meantime.
    if (outcome === 'done' && this.#pending.get(digest) === entry) this.#pending.delete(digest);
    if (outcome === 'failed') await delay(RETRY_DELAY_MILLISECONDS, signal);
  }

  async #write(digest: string, entry: QuarantineEntry): Promise<WriteOutcome> {
    const { store, logger } = this.#parts;
    const stored = this.#stored.get(digest);
    if (stored && includesEntry(stored.entry, entry)) return 'done';
    const merged = stored ? mergeQuarantineEntries(stored.entry, entry) : entry;
    const leaseMilliseconds = merged.expiresAtMilliseconds - Date.now();
    if (leaseMilliseconds < SHORTEST_LEASE_MILLISECONDS) return 'done';
    const key = `${QUARANTINE_PREFIX}${digest}`;
    const written = await boundStoreCall(
      store.grantLease(leaseMilliseconds).andThen(({ leaseId }) =>
        store.compareAndSwap({
          key,
          value: JSON.stringify(merged),
          expectedRevision: stored?.revision ?? 0,
          leaseId,
        }),
      ),
      STORE_CALL_TIMEOUT_MILLISECONDS,
    );
    const outcome = written.isOk() ? written.value.kind : written.error.kind;
    logger.info('quarantine.written', { digest, outcome });
    if (written.isErr()) return 'failed';
    if (written.value.kind === 'swapped') {
      this.#stored.set(digest, { entry: merged, revision: written.value.revision });
      return 'done';
    }
    const { current } = written.value;
    if (current) this.read(current);
    else this.#stored.delete(digest);
    return 'conflict';
  }
}

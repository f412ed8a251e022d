import type {
  BatchStore,
  CompareAndSwapOutcome,
  CompareAndSwapRequest,
  Lease,
  StoreEntry,
  StoreError,
  StoreListing,
  WatchEvent,
  WatchOptions,
} from '@limpetnotch/store';
import { Deferred, delay } from '@limpetnotch/supervision';
import { ResultAsync } from 'neverthrow';

const ANSWER_MILLISECONDS = 4;

/** As in the client of the platform's store: a wait ends this long before its silence. */
const WATCH_RESPONSE_MARGIN_MILLISECONDS = 500;

const LEASE_MILLISECONDS = 5_000;

type Change = Extract<WatchEvent, { readonly kind: 'put' | 'removed' }>;

const revisionOf = (change: Change): number =>
  change.kind === 'put' ? change.entry.revision : change.revision;

const keyOf = (change: Change): string => (change.kind === 'put' ? change.entry.key : change.key);

/**
 * A store in memory whose watches are polled, as those of the platform: each response holds all
 * changes since the last one. Leases don't expire.
 */
export class WatchedStore {
  readonly #entries = new Map<string, StoreEntry>();

  readonly #changes: Change[] = [];

  #revision = 1;

  #leases = 0;

  #changed = new Deferred<void>();

  /** Number of swaps of each key, conflicts included. */
  readonly swaps = new Map<string, number>();

  get client(): BatchStore {
    const answer = <Value>(compute: () => Value): ResultAsync<Value, StoreError> =>
      ResultAsync.fromSafePromise(delay(ANSWER_MILLISECONDS).then(compute));
    const lease = (): Lease => ({
      leaseId: String(this.#leases),
      timeToLiveMilliseconds: LEASE_MILLISECONDS,
    });
    return {
      read: (key) => answer(() => this.#entries.get(key)),
      list: (prefix) => answer(() => this.#list(prefix)),
      compareAndSwap: (request) => answer(() => this.#swap(request)),
      putAll: (puts) => answer(() => puts.forEach(({ key, value }) => this.overwrite(key, value))),
      remove: (key) => answer(() => this.#remove(key)),
      grantLease: () =>
        answer(() => {
          this.#leases += 1;
          return lease();
        }),
      renewLease: () => answer(lease),
      revokeLease: () => answer(() => undefined),
      watch: (options) => this.#watch(options),
      close: async () => undefined,
    };
  }

  /** Writes a value as another process would. */
  overwrite(key: string, value: string): void {
    this.#swap({ key, value, expectedRevision: this.#entries.get(key)?.revision ?? 0 });
  }

  read(key: string): string | undefined {
    return this.#entries.get(key)?.value;
  }

  #list(prefix: string): StoreListing {
    const entries = [...this.#entries.values()].filter(({ key }) => key.startsWith(prefix));
    return { entries, revision: this.#revision };
  }

  #swap({ key, value, expectedRevision }: CompareAndSwapRequest): CompareAndSwapOutcome {
    this.swaps.set(key, (this.swaps.get(key) ?? 0) + 1);
    const current = this.#entries.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) return { kind: 'conflict', current };
    this.#revision += 1;
    const entry = { key, value, revision: this.#revision };
    this.#entries.set(key, entry);
    this.#publish({ kind: 'put', entry });
    return { kind: 'swapped', revision: this.#revision };
  }

  #remove(key: string): boolean {
    if (!this.#entries.delete(key)) return false;
    this.#revision += 1;
    this.#publish({ kind: 'removed', key, revision: this.#revision });
    return true;
  }

  #publish(change: Change): void {
    this.#changes.push(change);
    this.#changed.resolve(undefined);
    this.#changed = new Deferred();
  }

  async *#watch({
    prefix,
    fromRevision,
    signal,
    silenceMilliseconds = 3_000,
  }: WatchOptions): AsyncGenerator<WatchEvent> {
    let after = fromRevision - 1;
    while (!signal.aborted) {
      const until = performance.now() + silenceMilliseconds - WATCH_RESPONSE_MARGIN_MILLISECONDS;
      const changesAfter = (revision: number): readonly Change[] =>
        this.#changes.filter(
          (change) => revisionOf(change) > revision && keyOf(change).startsWith(prefix),
        );
      while (changesAfter(after).length === 0 && performance.now() < until && !signal.aborted) {
        await Promise.race([this.#changed.promise, delay(until - performance.now(), signal)]);
      }
      const changes = changesAfter(after);
      after = this.#revision;
      await delay(ANSWER_MILLISECONDS);
      if (signal.aborted) return;
      yield* changes;
      yield { kind: 'progress', revision: after };
    }
  }
}

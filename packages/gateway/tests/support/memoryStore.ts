import type { CompareAndSwapRequest, KeyValueStore, StoreEntry } from '@limpetnotch/store';
import { errAsync, okAsync } from 'neverthrow';

/** Keys in memory, with an outage that refuses every call. */
export class MemoryStore {
  isDown = false;

  /** Writes that were tried, whatever came of them. */
  writes = 0;

  /** Called with each entry that was written. */
  onWrite: (entry: StoreEntry) => void = () => undefined;

  #revision = 0;

  readonly #entries = new Map<string, StoreEntry>();

  /** The verbs that budgets use. */
  get client(): KeyValueStore {
    return {
      read: (key: string) => (this.isDown ? this.#unavailable() : okAsync(this.#entries.get(key))),
      list: (prefix: string) => (this.isDown ? this.#unavailable() : okAsync(this.#list(prefix))),
      grantLease: (timeToLiveMilliseconds: number) =>
        this.isDown ? this.#unavailable() : okAsync({ leaseId: '1', timeToLiveMilliseconds }),
      compareAndSwap: (request: CompareAndSwapRequest) => this.#swap(request),
    } as unknown as KeyValueStore;
  }

  /** All keys with their values. */
  get entries(): readonly StoreEntry[] {
    return [...this.#entries.values()];
  }

  /** Values of all keys, parsed. */
  get values(): readonly unknown[] {
    return [...this.#entries.values()].map(({ value }): unknown => JSON.parse(value));
  }

  #list(prefix: string) {
    const entries = [...this.#entries.values()].filter(({ key }) => key.startsWith(prefix));
    return { entries, revision: this.#revision };
  }

  #swap({ key, value, expectedRevision }: CompareAndSwapRequest) {
    this.writes += 1;
    if (this.isDown) return this.#unavailable();
    const current = this.#entries.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) {
      return okAsync({ kind: 'conflict' as const, current });
    }
    this.#revision += 1;
    const entry = { key, value, revision: this.#revision };
    this.#entries.set(key, entry);
    this.onWrite(entry);
    return okAsync({ kind: 'swapped' as const, revision: this.#revision });
  }

  #unavailable() {
    return errAsync({ kind: 'unavailable' as const, detail: 'the store is down' });
  }
}

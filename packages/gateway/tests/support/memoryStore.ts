import type { CompareAndSwapRequest, KeyValueStore, StoreEntry } from '@limpetnotch/store';
import { errAsync, okAsync } from 'neverthrow';

/** A store in memory with an outage mode that refuses every call. */
export class MemoryStore {
  isDown = false;

  /** Number of attempted writes, regardless of their outcome. */
  writes = 0;

  /** Called with each written entry. */
  onWrite: (entry: StoreEntry) => void = () => undefined;

  #revision = 0;

  readonly #entries = new Map<string, StoreEntry>();

  /** A client with the operations that budgets and the quarantine use. */
  get client(): KeyValueStore {
    return {
      read: (key: string) => (this.isDown ? this.#unavailable() : okAsync(this.#entries.get(key))),
      list: (prefix: string) => (this.isDown ? this.#unavailable() : okAsync(this.#list(prefix))),
      grantLease: (timeToLiveMilliseconds: number) =>
        this.isDown ? this.#unavailable() : okAsync({ leaseId: '1', timeToLiveMilliseconds }),
      compareAndSwap: (request: CompareAndSwapRequest) => this.#swap(request),
    } as unknown as KeyValueStore;
  }

  get entries(): readonly StoreEntry[] {
    return [...this.#entries.values()];
  }

  /** The parsed values of all keys. */
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

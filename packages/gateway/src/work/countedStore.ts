import type {
  BatchStore,
  CompareAndSwapRequest,
  KeyValueStore,
  WatchEvent,
  WatchOptions,
} from '@limpetnotch/store';
import type { WorkCounts } from './workCounts';

/** Counts the calls to a store. */
export class CountedStore implements BatchStore {
  readonly #store: BatchStore;

  readonly #counts: WorkCounts;

  constructor(store: BatchStore, counts: WorkCounts) {
    this.#store = store;
    this.#counts = counts;
  }

  read(key: string): ReturnType<KeyValueStore['read']> {
    this.#record('read');
    return this.#store.read(key);
  }

  list(prefix: string): ReturnType<KeyValueStore['list']> {
    this.#record('list');
    return this.#store.list(prefix);
  }

  compareAndSwap(request: CompareAndSwapRequest): ReturnType<KeyValueStore['compareAndSwap']> {
    this.#record('compareAndSwap');
    return this.#store.compareAndSwap(request);
  }

  putAll(...parameters: Parameters<BatchStore['putAll']>): ReturnType<BatchStore['putAll']> {
    this.#record('putAll');
    return this.#store.putAll(...parameters);
  }

  remove(key: string, expectedRevision: number): ReturnType<KeyValueStore['remove']> {
    this.#record('remove');
    return this.#store.remove(key, expectedRevision);
  }

  grantLease(timeToLiveMilliseconds: number): ReturnType<KeyValueStore['grantLease']> {
    this.#record('grantLease');
    return this.#store.grantLease(timeToLiveMilliseconds);
  }

  renewLease(leaseId: string): ReturnType<KeyValueStore['renewLease']> {
    this.#record('renewLease');
    return this.#store.renewLease(leaseId);
  }

  revokeLease(leaseId: string): ReturnType<KeyValueStore['revokeLease']> {
    this.#record('revokeLease');
    return this.#store.revokeLease(leaseId);
  }

  /** Counts one call for each progress, with which every response of a watch ends. */
  async *watch(options: WatchOptions): AsyncGenerator<WatchEvent> {
    this.#record('watch');
    for await (const event of this.#store.watch(options)) {
      if (event.kind === 'progress') this.#record('watch');
      yield event;
    }
  }

  async close(): Promise<void> {
    await this.#store.close();
  }

  #record(call: string): void {
    this.#counts.record('store', call);
  }
}

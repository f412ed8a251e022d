import type {
  CompareAndSwapOutcome,
  CompareAndSwapRequest,
  KeyValueStore,
  Lease,
  StoreEntry,
  StoreError,
  StoreListing,
  WatchEvent,
  WatchOptions,
} from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';

interface StoredEntry extends StoreEntry {
  readonly leaseId: string | undefined;
}

interface Watcher {
  readonly prefix: string;
  readonly events: WatchEvent[];
  wake: () => void;
}

/** Faults that a test enables for one client; all are disabled initially. */
export class ClientFaults {
  /** Whether the client cannot reach the store. */
  isDown = false;

  /** Number of next writes whose response is lost after they took effect. */
  lostAnswers = 0;

  /** Whether the client cannot reach the store after the next lost response. */
  isDownAfterLoss = false;

  /** Delay before each call reaches the store, in milliseconds. */
  latencyMilliseconds = 0;

  /** Whether the watches of the client yield no further event. */
  isWatchStalled = false;

  /** Whether the response of the last write is lost; counts the loss. */
  consumeLoss(): boolean {
    if (this.lostAnswers === 0) return false;
    this.lostAnswers -= 1;
    this.isDown ||= this.isDownAfterLoss;
    return true;
  }
}

/** In-memory store shared by the clients of a test, with faults for each client. */
export class MemoryStore {
  readonly entries = new Map<string, StoredEntry>();

  /** All values that were written to keys under `partitions/`, in order. */
  readonly headHistory: StoreEntry[] = [];

  operations = 0;

  readonly #watchers = new Set<Watcher>();

  readonly #leases = new Map<string, { expiresAt: number; timer: NodeJS.Timeout }>();

  #revision = 1;

  #nextLease = 1;

  countOperation(): void {
    this.operations += 1;
  }

  /** Ends every lease, as a store may after recovery from a long outage. */
  expireLeases(): void {
    [...this.#leases.keys()].forEach((leaseId) => this.#endLease(leaseId));
  }

  read(key: string): StoreEntry | undefined {
    return this.entries.get(key);
  }

  list(prefix: string): StoreListing {
    const entries = [...this.entries.values()].filter(({ key }) => key.startsWith(prefix));
    return { entries, revision: this.#revision };
  }

  swap({ key, expectedRevision, value, leaseId }: CompareAndSwapRequest): CompareAndSwapOutcome {
    const current = this.entries.get(key);
    if ((current?.revision ?? 0) !== expectedRevision) return { kind: 'conflict', current };
    this.#revision += 1;
    const entry = { key, value, revision: this.#revision, leaseId };
    this.entries.set(key, entry);
    if (key.startsWith('partitions/')) this.headHistory.push(entry);
    this.#notifyWatchers({ kind: 'put', entry }, key);
    return { kind: 'swapped', revision: this.#revision };
  }

  remove(key: string, expectedRevision: number): boolean {
    if (this.entries.get(key)?.revision !== expectedRevision) return false;
    this.entries.delete(key);
    this.#revision += 1;
    this.#notifyWatchers({ kind: 'removed', key, revision: this.#revision }, key);
    return true;
  }

  grantLease(milliseconds: number): Lease {
    const leaseId = String(this.#nextLease);
    this.#nextLease += 1;
    this.#startLease(leaseId, milliseconds);
    return { leaseId, timeToLiveMilliseconds: milliseconds };
  }

  renewLease(leaseId: string, milliseconds: number): Lease | undefined {
    const lease = this.#leases.get(leaseId);
    if (!lease) return undefined;
    clearTimeout(lease.timer);
    this.#startLease(leaseId, milliseconds);
    return { leaseId, timeToLiveMilliseconds: milliseconds };
  }

  revokeLease(leaseId: string): void {
    clearTimeout(this.#leases.get(leaseId)?.timer);
    this.#endLease(leaseId);
  }

  async *watch({ prefix, signal }: WatchOptions, faults: ClientFaults): AsyncGenerator<WatchEvent> {
    const watcher: Watcher = { prefix, events: [], wake: () => undefined };
    this.#watchers.add(watcher);
    signal.addEventListener('abort', () => watcher.wake(), { once: true });
    try {
      while (!signal.aborted) {
        const event = faults.isWatchStalled ? undefined : watcher.events.shift();
        if (event) yield event;
        else {
          await new Promise<void>((resolve) => {
            watcher.wake = resolve;
          });
        }
      }
    } finally {
      this.#watchers.delete(watcher);
    }
  }

  #startLease(leaseId: string, milliseconds: number): void {
    const timer = setTimeout(() => this.#endLease(leaseId), milliseconds);
    timer.unref?.();
    this.#leases.set(leaseId, { expiresAt: Date.now() + milliseconds, timer });
  }

  #endLease(leaseId: string): void {
    clearTimeout(this.#leases.get(leaseId)?.timer);
    this.#leases.delete(leaseId);
    const bound = [...this.entries.values()].filter((entry) => entry.leaseId === leaseId);
    bound.forEach(({ key, revision }) => this.remove(key, revision));
  }

  #notifyWatchers(event: WatchEvent, key: string): void {
    this.#watchers.forEach((watcher) => {
      if (!key.startsWith(watcher.prefix)) return;
      watcher.events.push(event);
      watcher.wake();
    });
  }
}

const LEASE_MILLISECONDS = 3_000;

/** Creates a client of the store with its own faults. */
export const connectClient = (store: MemoryStore, faults: ClientFaults): KeyValueStore => {
  const call = <Value>(work: () => Value, isWrite: boolean): ResultAsync<Value, StoreError> => {
    const run = async (): Promise<Result<Value, StoreError>> => {
      if (faults.latencyMilliseconds > 0) await delay(faults.latencyMilliseconds);
      if (faults.isDown) return err({ kind: 'unavailable', detail: 'the store is down' });
      const value = work();
      store.countOperation();
      if (!isWrite || !faults.consumeLoss()) return ok(value);
      return err({ kind: 'unknown-outcome', detail: 'the answer was lost' });
    };
    return new ResultAsync(run());
  };
  return {
    read: (key) => call(() => store.read(key), false),
    list: (prefix) => call(() => store.list(prefix), false),
    compareAndSwap: (request) => call(() => store.swap(request), true),
    remove: (key, revision) => call(() => store.remove(key, revision), true),
    grantLease: (milliseconds) => call(() => store.grantLease(milliseconds), false),
    renewLease: (leaseId) =>
      call(() => store.renewLease(leaseId, LEASE_MILLISECONDS), false).andThen(
        (lease): Result<Lease, StoreError> =>
          lease ? ok(lease) : err({ kind: 'lease-ended', detail: leaseId }),
      ),
    revokeLease: (leaseId) => call(() => store.revokeLease(leaseId), false),
    watch: (options) => store.watch(options, faults),
    close: () => Promise.resolve(),
  };
};

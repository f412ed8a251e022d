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
import { WatchError } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import type { Result } from 'neverthrow';
import { err, ok, ResultAsync } from 'neverthrow';

const POLL_MILLISECONDS = 10;

interface StoredEntry extends StoreEntry {
  readonly leaseId: string | undefined;
}

interface RecordedEvent {
  readonly key: string;
  readonly revision: number;
  readonly event: WatchEvent;
}

interface StoredLease {
  readonly milliseconds: number;
  expiresAt: number;
}

/** Connection of one client to a {@link FakeStore}. */
export interface StoreConnection {
  isDown: boolean;
}

/** In-memory store with leases and a complete history, shared by the clients of a test. */
export class FakeStore {
  readonly #entries = new Map<string, StoredEntry>();

  readonly #leases = new Map<string, StoredLease>();

  readonly #history: RecordedEvent[] = [];

  #revision = 1;

  #nextLease = 1;

  get(key: string): string | undefined {
    this.#expire();
    return this.#entries.get(key)?.value;
  }

  put(key: string, value: string): void {
    this.#put(key, value, undefined);
  }

  delete(key: string): void {
    if (!this.#entries.delete(key)) return;
    this.#revision += 1;
    const event = { kind: 'removed' as const, key, revision: this.#revision };
    this.#history.push({ key, revision: this.#revision, event });
  }

  /** Ends all leases, as a store may after an outage. */
  endLeases(): void {
    [...this.#leases.keys()].forEach((leaseId) => this.#endLease(leaseId));
  }

  /** Keys under a prefix. */
  keys(prefix: string): readonly string[] {
    this.#expire();
    return [...this.#entries.keys()].filter((key) => key.startsWith(prefix)).sort();
  }

  connect(connection: StoreConnection): KeyValueStore {
    const call = <Value>(work: () => Result<Value, StoreError>): ResultAsync<Value, StoreError> => {
      const run = async (): Promise<Result<Value, StoreError>> => {
        await new Promise(setImmediate);
        if (connection.isDown) return err({ kind: 'unavailable', detail: 'disconnected' });
        this.#expire();
        return work();
      };
      return new ResultAsync(run());
    };
    return {
      read: (key) => call(() => ok(this.#entries.get(key))),
      list: (prefix) => call(() => ok(this.#list(prefix))),
      compareAndSwap: (request) => call(() => this.#swap(request)),
      remove: (key, revision) =>
        call(() => {
          const isCurrent = this.#entries.get(key)?.revision === revision;
          if (isCurrent) this.delete(key);
          return ok(isCurrent);
        }),
      grantLease: (milliseconds) => call(() => ok(this.#grantLease(milliseconds))),
      renewLease: (leaseId) => call(() => this.#renewLease(leaseId)),
      revokeLease: (leaseId) =>
        call(() => {
          this.#endLease(leaseId);
          return ok(undefined);
        }),
      watch: (options) => this.#watch(options, connection),
      close: () => Promise.resolve(),
    };
  }

  async *#watch(
    { prefix, fromRevision, signal }: WatchOptions,
    connection: StoreConnection,
  ): AsyncGenerator<WatchEvent> {
    let seen = fromRevision - 1;
    while (!signal.aborted) {
      await delay(POLL_MILLISECONDS, signal);
      if (connection.isDown) throw new WatchError('lost', 'disconnected');
      this.#expire();
      for (const { key, revision, event } of this.#history) {
        if (revision > seen && key.startsWith(prefix)) yield event;
      }
      seen = Math.max(seen, this.#revision);
      yield { kind: 'progress', revision: seen };
    }
  }

  #list(prefix: string): StoreListing {
    const entries = [...this.#entries.values()].filter(({ key }) => key.startsWith(prefix));
    return { entries, revision: this.#revision };
  }

  #swap({
    key,
    value,
    expectedRevision,
    leaseId,
  }: CompareAndSwapRequest): Result<CompareAndSwapOutcome, StoreError> {
    const current = this.#entries.get(key);
    if (leaseId !== undefined && !this.#leases.has(leaseId)) {
      return err({ kind: 'lease-ended', detail: leaseId });
    }
    if ((current?.revision ?? 0) !== expectedRevision) return ok({ kind: 'conflict', current });
    this.#put(key, value, leaseId);
    return ok({ kind: 'swapped', revision: this.#revision });
  }

  #put(key: string, value: string, leaseId: string | undefined): void {
    this.#revision += 1;
    const entry = { key, value, revision: this.#revision, leaseId };
    this.#entries.set(key, entry);
    this.#history.push({ key, revision: this.#revision, event: { kind: 'put', entry } });
  }

  #grantLease(milliseconds: number): Lease {
    const leaseId = String(this.#nextLease);
    this.#nextLease += 1;
    this.#leases.set(leaseId, { milliseconds, expiresAt: Date.now() + milliseconds });
    return { leaseId, timeToLiveMilliseconds: milliseconds };
  }

  #renewLease(leaseId: string): Result<Lease, StoreError> {
    const lease = this.#leases.get(leaseId);
    if (!lease) return err({ kind: 'lease-ended', detail: leaseId });
    lease.expiresAt = Date.now() + lease.milliseconds;
    return ok({ leaseId, timeToLiveMilliseconds: lease.milliseconds });
  }

  #endLease(leaseId: string): void {
    this.#leases.delete(leaseId);
    [...this.#entries.values()]
      .filter((entry) => entry.leaseId === leaseId)
      .forEach(({ key }) => this.delete(key));
  }

  #expire(): void {
    const now = Date.now();
    [...this.#leases]
      .filter(([, { expiresAt }]) => expiresAt < now)
      .forEach(([leaseId]) => this.#endLease(leaseId));
  }
}

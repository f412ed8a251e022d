/** One key of the store; the value is base64 text. */
export interface PlatformStoreItem {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  /** Lease to which the key is attached; 0 for none. */
  readonly lease: number;
}

/** A change of one key. */
export type PlatformStoreEvent =
  PlatformStoreItem | { readonly key: string; readonly revision: number; readonly deleted: true };

/** A key to write, with its value and lease. */
export interface PlatformStorePut {
  readonly key: string;
  readonly value: string;
  readonly lease: number;
}

interface PlatformLease {
  readonly ttlMs: number;
  expiryTimer: NodeJS.Timeout;
}

/** In-memory keys, their history and leases; changes take effect immediately. */
export class PlatformStoreState {
  readonly #items = new Map<string, PlatformStoreItem>();

  readonly #events: PlatformStoreEvent[] = [];

  readonly #leases = new Map<number, PlatformLease>();

  readonly #listeners = new Set<() => void>();

  #lastLease = 0;

  #revision = 1;

  get revision(): number {
    return this.#revision;
  }

  read(key: string): PlatformStoreItem | undefined {
    return this.#items.get(key);
  }

  /** Returns the items whose key starts with a prefix and sorts after a key, in key order. */
  range(prefix: string, after: string): readonly PlatformStoreItem[] {
    return [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((first, second) => (first.key < second.key ? -1 : 1));
  }

  /** Returns the changes to keys with a prefix that were made after a revision. */
  eventsAfter(prefix: string, after: number): readonly PlatformStoreEvent[] {
    return this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
  }

  /** Writes and removes keys as one change; returns its revision. */
  write(puts: readonly PlatformStorePut[], deletes: readonly string[]): number {
    this.#revision += 1;
    const revision = this.#revision;
    puts.forEach((put) => {
      const created = this.#items.get(put.key)?.created ?? revision;
      const item = { ...put, revision, created };
      this.#items.set(put.key, item);
      this.#events.push(item);
    });
    deletes.forEach((key) => {
      if (this.#items.delete(key)) this.#events.push({ key, revision, deleted: true });
    });
    [...this.#listeners].forEach((listener) => listener());
    return revision;
  }

  /** Calls a listener after each change; returns a function that unsubscribes it. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  hasLease(lease: number): boolean {
    return this.#leases.has(lease);
  }

  grantLease(ttlMs: number): number {
    this.#lastLease += 1;
    this.#leases.set(this.#lastLease, {
      ttlMs,
      expiryTimer: this.#scheduleExpiry(this.#lastLease, ttlMs),
    });
    return this.#lastLease;
  }

  /** Renews a lease; returns its time to live in milliseconds, or undefined if it has ended. */
  renewLease(id: number): number | undefined {
    const lease = this.#leases.get(id);
    if (!lease) return undefined;
    clearTimeout(lease.expiryTimer);
    lease.expiryTimer = this.#scheduleExpiry(id, lease.ttlMs);
    return lease.ttlMs;
  }

  /** Ends a lease and removes its keys; returns whether the lease existed. */
  revokeLease(id: number): boolean {
    clearTimeout(this.#leases.get(id)?.expiryTimer);
    if (!this.#leases.delete(id)) return false;
    const keys = [...this.#items.values()]
      .filter(({ lease }) => lease === id)
      .map(({ key }) => key);
    if (keys.length > 0) this.write([], keys);
    return true;
  }

  #scheduleExpiry(lease: number, ttlMs: number): NodeJS.Timeout {
    return setTimeout(() => this.revokeLease(lease), ttlMs).unref();
  }
}

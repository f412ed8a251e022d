/** One key of the store; the value is base64 text. */
export interface PlatformStoreItem {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  /** Lease that the key hangs on; 0 for none. */
  readonly lease: number;
}

type PlatformStoreEvent =
  PlatformStoreItem | { readonly key: string; readonly revision: number; readonly deleted: true };

/** A key as it is to be written. */
export interface PlatformStorePut {
  readonly key: string;
  readonly value: string;
  readonly lease: number;
}

interface PlatformLease {
  readonly ttlMs: number;
  expiry: NodeJS.Timeout;
}

/** Keys, their history and leases, all in memory; each change takes effect at once. */
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

  /** Returns the items whose key begins with a prefix and comes after a key, in order. */
  range(prefix: string, after: string): readonly PlatformStoreItem[] {
    return [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((first, second) => (first.key < second.key ? -1 : 1));
  }

  /** Returns the changes of a prefix after a revision. */
  eventsAfter(prefix: string, after: number): readonly PlatformStoreEvent[] {
    return this.#events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
  }

  /** Writes and removes keys in one change; returns its revision. */
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

  /** Calls a function after each change; returns what ends that. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  hasLease(lease: number): boolean {
    return this.#leases.has(lease);
  }

  grant(ttlMs: number): number {
    this.#lastLease += 1;
    this.#leases.set(this.#lastLease, { ttlMs, expiry: this.#expire(this.#lastLease, ttlMs) });
    return this.#lastLease;
  }

  /** Renews a lease; returns its time, or undefined where it has ended. */
  keep(id: number): number | undefined {
    const lease = this.#leases.get(id);
    if (!lease) return undefined;
    clearTimeout(lease.expiry);
    lease.expiry = this.#expire(id, lease.ttlMs);
    return lease.ttlMs;
  }

  /** Ends a lease and removes its keys; returns whether there was one. */
  end(id: number): boolean {
    clearTimeout(this.#leases.get(id)?.expiry);
    if (!this.#leases.delete(id)) return false;
    const keys = [...this.#items.values()]
      .filter(({ lease }) => lease === id)
      .map(({ key }) => key);
    if (keys.length > 0) this.write([], keys);
    return true;
  }

  #expire(lease: number, ttlMs: number): NodeJS.Timeout {
    return setTimeout(() => this.end(lease), ttlMs).unref();
  }
}

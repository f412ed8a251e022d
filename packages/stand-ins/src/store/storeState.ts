/** One key of the store, with its value and revisions. */
export interface StoredKey {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly revision: number;
  readonly version: number;
  readonly lease: string;
}

/** One change of the store. */
export interface StoredChange {
  readonly kind: 'put' | 'removed';
  readonly revision: number;
  readonly entry: StoredKey;
}

interface StoredLease {
  readonly identifier: string;
  readonly timeToLiveMilliseconds: number;
  expiresAt: number;
  readonly keys: Set<string>;
}

const RETAINED_CHANGES = 20_000;

/** Keys, leases and recent changes of the store stand-in; keys and values are base64 text. */
export class StoreState {
  readonly #keys = new Map<string, StoredKey>();

  readonly #leases = new Map<string, StoredLease>();

  readonly #listeners = new Set<(changes: readonly StoredChange[]) => void>();

  #changes: StoredChange[] = [];

  #revision = 1;

  #compactRevision = 0;

  #nextLease = 1;

  get revision(): number {
    return this.#revision;
  }

  /** Oldest revision in the retained history; 0 if no change was discarded. */
  get compactRevision(): number {
    return this.#compactRevision;
  }

  get(key: string): StoredKey | undefined {
    return this.#keys.get(key);
  }

  /** Returns the keys that a predicate accepts, in byte order. */
  select(accepts: (key: string) => boolean): readonly StoredKey[] {
    return [...this.#keys.values()]
      .filter((entry) => accepts(entry.key))
      .sort((left, right) =>
        Buffer.compare(Buffer.from(left.key, 'base64'), Buffer.from(right.key, 'base64')),
      );
  }

  /** Writes a key and attaches it to a lease; `0` means no lease. */
  put(key: string, value: string, lease: string): StoredKey {
    const previous = this.#keys.get(key);
    if (previous) this.#leases.get(previous.lease)?.keys.delete(key);
    this.#revision += 1;
    const entry: StoredKey = {
      key,
      value,
      createRevision: previous?.createRevision ?? this.#revision,
      revision: this.#revision,
      version: (previous?.version ?? 0) + 1,
      lease,
    };
    this.#keys.set(key, entry);
    this.#leases.get(lease)?.keys.add(key);
    this.#publish([{ kind: 'put', revision: this.#revision, entry }]);
    return entry;
  }

  /** Removes keys in one revision; returns how many of them existed. */
  remove(keys: readonly string[]): number {
    const present = keys.filter((key) => this.#keys.has(key));
    if (present.length === 0) return 0;
    this.#revision += 1;
    this.#publish(present.map((key) => this.#removeOne(key)));
    return present.length;
  }

  grantLease(timeToLiveMilliseconds: number): string {
    const identifier = String(this.#nextLease);
    this.#nextLease += 1;
    const expiresAt = Date.now() + timeToLiveMilliseconds;
    this.#leases.set(identifier, {
      identifier,
      timeToLiveMilliseconds,
      expiresAt,
      keys: new Set(),
    });
    return identifier;
  }

  hasLease(identifier: string): boolean {
    return this.#leases.has(identifier);
  }

  /** Renews a lease; returns its time to live in milliseconds, or `undefined` if it has ended. */
  renewLease(identifier: string): number | undefined {
    const lease = this.#leases.get(identifier);
    if (lease === undefined) return undefined;
    lease.expiresAt = Date.now() + lease.timeToLiveMilliseconds;
    return lease.timeToLiveMilliseconds;
  }

  /** Ends a lease and removes its keys; returns whether the lease existed. */
  revokeLease(identifier: string): boolean {
    const lease = this.#leases.get(identifier);
    if (lease === undefined) return false;
    this.#leases.delete(identifier);
    this.remove([...lease.keys]);
    return true;
  }

  /** Revokes the leases whose time to live has expired. */
  expireLeases(): void {
    const now = Date.now();
    [...this.#leases.values()]
      .filter((lease) => lease.expiresAt <= now)
      .forEach((lease) => this.revokeLease(lease.identifier));
  }

  /** Returns the retained changes from a revision on, that revision included. */
  changesFrom(revision: number): readonly StoredChange[] {
    return this.#changes.filter((change) => change.revision >= revision);
  }

  /** Discards the changes before the current revision. */
  compact(): void {
    this.#compactRevision = this.#revision;
    this.#changes = this.#changes.filter((change) => change.revision >= this.#revision);
  }

  /**
   * Calls a listener with the changes of each revision; returns a function that unsubscribes it.
   */
  subscribe(listener: (changes: readonly StoredChange[]) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #removeOne(key: string): StoredChange {
    const previous = this.#keys.get(key);
    this.#keys.delete(key);
    if (previous) this.#leases.get(previous.lease)?.keys.delete(key);
    const entry: StoredKey = {
      key,
      value: '',
      createRevision: 0,
      revision: this.#revision,
      version: 0,
      lease: '0',
    };
    return { kind: 'removed', revision: this.#revision, entry };
  }

  #publish(changes: readonly StoredChange[]): void {
    this.#changes.push(...changes);
    if (this.#changes.length > 2 * RETAINED_CHANGES) {
      this.#changes = this.#changes.slice(-RETAINED_CHANGES);
      this.#compactRevision = this.#changes[0]?.revision ?? this.#revision;
    }
    this.#listeners.forEach((listener) => listener(changes));
  }
}

import type { Logger } from '@limpetnotch/observability';
import type { StoreEntry } from '@limpetnotch/store';
import { parseJson } from '@limpetnotch/store';
import type { StorageInstance } from '../decisions/storageInstance';
import { storageInstanceSchema } from '../decisions/storageInstance';
import { STORAGE_PREFIX } from '../decisions/storagePrefix';
import { STORAGE_MEMBER_PREFIX } from '../storage/storageMember';

/**
 * Time for which an instance that is no longer listed still counts as one that may hold turns: its
 * lease may have expired in an outage of the store, and the others copy its turns first.
 */
const UNLISTED_MILLISECONDS = 30_000;

/** Time for which an instance that did not respond is asked last. */
const SUSPENSION_MILLISECONDS = 1_000;

/** Parts of a {@link StorageDirectory}. */
export interface StorageDirectoryParts {
  readonly logger: Logger;
}

const toName = (key: string): string => key.slice(STORAGE_PREFIX.length);

/** Storage instances, as they list themselves in the store. */
export class StorageDirectory {
  readonly #parts: StorageDirectoryParts;

  readonly #instances = new Map<string, StorageInstance>();

  /** Instances that may hold turns, whether or not they are present. */
  readonly #members = new Set<string>();

  /** When each instance that is no longer listed was removed from the list. */
  readonly #unlistedAt = new Map<string, number>();

  readonly #suspendedUntil = new Map<string, number>();

  #isListed = false;

  constructor(parts: StorageDirectoryParts) {
    this.#parts = parts;
  }

  /** Whether a key of the store belongs to this directory. */
  static owns(key: string): boolean {
    return key.startsWith(STORAGE_PREFIX) || key.startsWith(STORAGE_MEMBER_PREFIX);
  }

  /** Whether the list has been read since the process started. */
  get isListed(): boolean {
    return this.#isListed;
  }

  /** Instances that may hold turns; the listed ones first. */
  get known(): readonly StorageInstance[] {
    this.#forgetUnlisted();
    return [...this.#instances.values()].sort(
      (one, other) =>
        Number(this.#unlistedAt.has(one.name)) - Number(this.#unlistedAt.has(other.name)),
    );
  }

  /** Names of all instances that may hold turns, including absent ones. */
  get possibleHolders(): readonly string[] {
    return [...new Set([...this.#members, ...this.known.map(({ name }) => name)])];
  }

  /** Whether requests to an instance failed recently, or it is no longer listed. */
  isDoubtful(name: string): boolean {
    return this.#unlistedAt.has(name) || (this.#suspendedUntil.get(name) ?? 0) > performance.now();
  }

  /** Applies a complete listing. */
  replaceAll(entries: readonly StoreEntry[]): void {
    const listed = new Set(
      entries.flatMap(({ key }) => (key.startsWith(STORAGE_PREFIX) ? toName(key) : [])),
    );
    this.#members.clear();
    [...this.#instances.keys()]
      .filter((name) => !listed.has(name))
      .forEach((name) => this.#markUnlisted(name));
    entries.forEach((entry) => this.put(entry));
    this.#isListed = true;
  }

  /** Applies the entry of one instance. */
  put({ key, value }: StoreEntry): void {
    if (key.startsWith(STORAGE_MEMBER_PREFIX)) {
      this.#members.add(key.slice(STORAGE_MEMBER_PREFIX.length));
      return;
    }
    const presence = parseJson(storageInstanceSchema, value);
    const name = toName(key);
    if (!presence) {
      this.#parts.logger.warn('storage.unreadable', { key });
      return;
    }
    const former = this.#instances.get(name);
    this.#instances.set(name, { name, ...presence });
    this.#unlistedAt.delete(name);
    if (former?.incarnation === presence.incarnation && former.state === presence.state) return;
    this.#suspendedUntil.delete(name);
    this.#parts.logger.info('storage.listed', {
      instance: name,
      address: presence.address,
      availabilityZone: presence.availabilityZone,
      incarnation: presence.incarnation,
      state: presence.state,
      isWhole: presence.isWhole,
    });
  }

  /** Records that an instance is no longer listed. */
  remove(key: string): void {
    if (key.startsWith(STORAGE_MEMBER_PREFIX)) {
      this.#members.delete(key.slice(STORAGE_MEMBER_PREFIX.length));
      return;
    }
    const name = toName(key);
    if (!this.#instances.has(name)) return;
    this.#markUnlisted(name);
    this.#parts.logger.info('storage.unlisted', { instance: name });
  }

  /** Records that an instance responded. */
  recordSuccess(name: string): void {
    this.#suspendedUntil.delete(name);
  }

  /** Records that an instance did not respond. */
  recordFailure(name: string): void {
    this.#suspendedUntil.set(name, performance.now() + SUSPENSION_MILLISECONDS);
  }

  #markUnlisted(name: string): void {
    if (!this.#unlistedAt.has(name)) this.#unlistedAt.set(name, performance.now());
  }

  #forgetUnlisted(): void {
    const now = performance.now();
    this.#unlistedAt.forEach((at, name) => {
      if (now - at < UNLISTED_MILLISECONDS) return;
      this.#unlistedAt.delete(name);
      this.#instances.delete(name);
    });
  }
}

import { createHash } from 'node:crypto';
import type { Logger } from '@limpetnotch/observability';
import type { KeyValueStore, PrefixListener, StoreEntry } from '@limpetnotch/store';
import { followPrefix, parseJson } from '@limpetnotch/store';
import type { StorageInstance, StoragePresence } from '../decisions/storageInstance';
import { storageInstanceSchema } from '../decisions/storageInstance';
import { STORAGE_PREFIX } from '../decisions/storagePrefix';
import type { StorageCodec } from './storageCodec';
import { STORAGE_KEYS_PREFIX } from './storageKeysPrefix';
import { STORAGE_MEMBER_PREFIX } from './storageMember';

/** Time for which an instance still counts after its presence ended: it may only be restarting. */
const HOLD_MILLISECONDS = 3_000;

/**
 * Time after which an absent member makes absences uncertain. Entry instances count a member for 3 s
 * after its presence ended, and the watches of two instances may differ by some hundred milliseconds.
 */
const UNCERTAIN_ABSENCE_MILLISECONDS = 2_500;

/**
 * Time after which an absent member no longer matters, as all its turns have expired; also ends the
 * wait for a majority of the instances that were listed.
 */
const FORGET_MILLISECONDS = 180_000;

const SILENCE_MILLISECONDS = 10_000;

const DIGEST_CHARACTERS = 16;

/** Another storage instance, or this one. */
export type ViewedInstance = StorageInstance & Pick<StoragePresence, 'hasLost' | 'repairedWithout'>;

interface HeldInstance {
  readonly instance: ViewedInstance;
  readonly goneAt: number;
}

/** A member, or an instance that is to be retired, that is not present. */
export interface AbsentMember {
  readonly name: string;
  /** Revision of the member, which changes at each registration; 0 if it is no member. */
  readonly revision: number;
  /** Whether it has been absent so long that all its turns have expired. */
  readonly isForgotten: boolean;
}

/** Options of a {@link StorageView}. */
export interface StorageViewOptions {
  readonly store: KeyValueStore;
  readonly codec: StorageCodec;
  readonly logger: Logger;
  readonly onChange: () => void;
}

/**
 * Names an absence of a member among the instances that count; differs after the member was present in
 * the meantime, and for any other list of instances.
 */
export const toAbsenceKey = (
  { name, revision }: AbsentMember,
  instances: readonly ViewedInstance[],
): string => {
  const list = JSON.stringify(instances.map((one) => [one.name, one.state]));
  const digest = createHash('sha256').update(list).digest('hex').slice(0, DIGEST_CHARACTERS);
  return `${name}@${revision}/${digest}`;
};

/** The storage instances, members and requests to retire, as the store reports them. */
export class StorageView {
  readonly #options: StorageViewOptions;

  readonly #present = new Map<string, ViewedInstance>();

  /** Instances that are no longer present but still count. */
  readonly #held = new Map<string, HeldInstance>();

  /** Revision of each member. */
  readonly #members = new Map<string, number>();

  readonly #retiring = new Set<string>();

  readonly #absentSince = new Map<string, number>();

  #hasInstances = false;

  #hasRetirements = false;

  constructor(options: StorageViewOptions) {
    this.#options = options;
  }

  /** Whether everything has been listed at least once. */
  get isKnown(): boolean {
    return this.#hasInstances && this.#hasRetirements;
  }

  /** Instances that are to be retired. */
  get retiring(): ReadonlySet<string> {
    return this.#retiring;
  }

  /** Names of the instances that are present now. */
  get presentNames(): readonly string[] {
    return [...this.#present.keys()].sort();
  }

  /** Returns the instances that count, ordered by name; those that are to be retired are leaving. */
  listCounted(): readonly ViewedInstance[] {
    this.#releaseHeld();
    return [...this.#present.values(), ...[...this.#held.values()].map(({ instance }) => instance)]
      .map((instance) =>
        this.#retiring.has(instance.name) ? { ...instance, state: 'leaving' as const } : instance,
      )
      .sort((first, second) => (first.name < second.name ? -1 : 1));
  }

  /** Returns the members, and the instances to be retired, that do not count any more. */
  listAbsent(): readonly AbsentMember[] {
    this.#releaseHeld();
    const now = performance.now();
    return [...new Set([...this.#members.keys(), ...this.#retiring])]
      .filter((name) => !this.#present.has(name) && !this.#held.has(name))
      .map((name) => ({
        name,
        revision: this.#members.get(name) ?? 0,
        isForgotten: now - this.#getAbsentSince(name, now) > FORGET_MILLISECONDS,
      }));
  }

  /** Whether a member is absent that entry instances may no longer count. */
  hasUncertainAbsence(): boolean {
    const now = performance.now();
    return [...this.#members.keys()].some(
      (name) =>
        !this.#present.has(name) &&
        now - this.#getAbsentSince(name, now) > UNCERTAIN_ABSENCE_MILLISECONDS,
    );
  }

  /** Follows the store until the signal aborts. */
  async follow(signal: AbortSignal): Promise<void> {
    const { store, codec } = this.#options;
    const options = { store, signal, silenceMilliseconds: SILENCE_MILLISECONDS };
    await Promise.all([
      followPrefix({
        ...options,
        prefix: STORAGE_KEYS_PREFIX,
        listener: this.#createInstanceListener(),
      }),
      followPrefix({
        ...options,
        prefix: codec.retirementPrefix,
        listener: this.#createRetirementListener(),
      }),
    ]);
  }

  #createInstanceListener(): PrefixListener {
    return {
      replaced: (entries) => {
        this.#hasInstances = true;
        const keys = new Set(entries.map(({ key }) => key));
        [...this.#present.keys()]
          .filter((name) => !keys.has(`${STORAGE_PREFIX}${name}`))
          .forEach((name) => this.#removePresent(name));
        [...this.#members.keys()]
          .filter((name) => !keys.has(`${STORAGE_MEMBER_PREFIX}${name}`))
          .forEach((name) => this.#members.delete(name));
        entries.forEach((entry) => this.#put(entry));
        this.#changed();
      },
      put: (entry) => {
        this.#put(entry);
        this.#changed();
      },
      removed: (key) => {
        if (key.startsWith(STORAGE_PREFIX)) this.#removePresent(key.slice(STORAGE_PREFIX.length));
        if (key.startsWith(STORAGE_MEMBER_PREFIX)) {
          this.#members.delete(key.slice(STORAGE_MEMBER_PREFIX.length));
        }
        this.#changed();
      },
      confirmed: () => undefined,
      lost: (detail) => this.#options.logger.debug('storage.store-lost', { detail }),
    };
  }

  #createRetirementListener(): PrefixListener {
    const { codec, logger } = this.#options;
    return {
      replaced: (entries) => {
        this.#hasRetirements = true;
        this.#retiring.clear();
        entries.forEach(({ key }) => {
          const name = codec.retiringInstanceOf(key);
          if (name !== undefined) this.#retiring.add(name);
        });
        this.#changed();
      },
      put: ({ key }) => {
        const name = codec.retiringInstanceOf(key);
        if (name === undefined) return;
        this.#retiring.add(name);
        logger.info('storage.retirement-requested', { retired: name });
        this.#changed();
      },
      removed: (key) => {
        const name = codec.retiringInstanceOf(key);
        if (name !== undefined) this.#retiring.delete(name);
        this.#changed();
      },
      confirmed: () => undefined,
      lost: (detail) => logger.debug('storage.store-lost', { detail }),
    };
  }

  #put({ key, value, revision }: StoreEntry): void {
    if (key.startsWith(STORAGE_MEMBER_PREFIX)) {
      this.#members.set(key.slice(STORAGE_MEMBER_PREFIX.length), revision);
      return;
    }
    if (!key.startsWith(STORAGE_PREFIX)) return;
    const name = key.slice(STORAGE_PREFIX.length);
    const presence = parseJson(storageInstanceSchema, value);
    if (!presence) {
      this.#options.logger.warn('storage.presence-unreadable', { key });
      this.#removePresent(name);
      return;
    }
    this.#present.set(name, { name, ...presence });
    this.#held.delete(name);
  }

  #removePresent(name: string): void {
    const instance = this.#present.get(name);
    if (!instance) return;
    this.#present.delete(name);
    this.#held.set(name, { instance, goneAt: performance.now() });
  }

  /** Records since when members are absent. */
  #changed(): void {
    const now = performance.now();
    [...this.#members.keys(), ...this.#retiring].forEach((name) => this.#getAbsentSince(name, now));
    this.#present.forEach((_instance, name) => this.#absentSince.delete(name));
    this.#options.onChange();
  }

  #getAbsentSince(name: string, now: number): number {
    const since = this.#held.get(name)?.goneAt ?? this.#absentSince.get(name) ?? now;
    if (!this.#present.has(name)) this.#absentSince.set(name, since);
    return since;
  }

  /**
   * Stops counting instances that have been gone for some time, unless fewer than half remain: then
   * the store has probably lost the leases.
   */
  #releaseHeld(): void {
    const now = performance.now();
    const isMinority = this.#present.size * 2 < this.#present.size + this.#held.size;
    this.#held.forEach(({ goneAt }, name) => {
      const age = now - goneAt;
      if (age < HOLD_MILLISECONDS || (isMinority && age < FORGET_MILLISECONDS)) return;
      this.#absentSince.set(name, goneAt);
      this.#held.delete(name);
    });
  }
}

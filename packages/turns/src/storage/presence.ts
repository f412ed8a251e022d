import type { Logger, Metrics } from '@limpetnotch/observability';
import type { KeyValueStore, StoreError } from '@limpetnotch/store';
import { boundStoreCall } from '@limpetnotch/store';
import { delay } from '@limpetnotch/supervision';
import type { StoragePresence } from '../decisions/storageInstance';
import { STORAGE_PREFIX } from '../decisions/storagePrefix';
import { STORAGE_MEMBER_PREFIX } from './storageMember';

const LEASE_MILLISECONDS = 3_000;

const RENEWAL_MILLISECONDS = 1_000;

/** Interval at which the value is compared with the published one. */
const TICK_MILLISECONDS = 100;

const RETRY_MILLISECONDS = 250;

const CALL_MILLISECONDS = 900;

/** Time after which a presence that the store does not report is written again. */
const UNSEEN_MILLISECONDS = 2_000;

/**
 * Time after which a new member stores turns. An entry instance whose list of instances is older than
 * this cannot tell that a turn is absent, as it may be on new members alone.
 */
const NEW_MEMBER_MILLISECONDS = 5_000;

/** Options of a {@link Presence}. */
export interface PresenceOptions {
  readonly store: KeyValueStore;
  /** Name of this instance. */
  readonly instance: string;
  readonly incarnation: string;
  /** Whether the complete system starts for the first time. */
  readonly isFirstStart: boolean;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Whether this instance may register: it has read who is to be retired. */
  readonly mayRegister: () => boolean;
  /** Whether this instance is leaving; then it does not become a member. */
  readonly isLeaving: () => boolean;
  readonly describe: () => StoragePresence;
  /** Whether the store has reported the presence of this instance. */
  readonly isSeen: () => boolean;
  /** Called at each registration, with whether this instance was a member before. */
  readonly onRegistered: (wasMember: boolean) => void;
}

/** Registers this instance as a member and maintains its presence under a lease. */
export class Presence {
  readonly #options: PresenceOptions;

  #leaseId: string | undefined;

  #renewedAt = -Infinity;

  #publishedValue = '';

  #publishedAt = -Infinity;

  /** When this process registered this instance as a member; `undefined` before. */
  #memberSince: number | undefined;

  /** Whether this instance was a member before this process registered it. */
  #wasMember = false;

  #isReleased = false;

  constructor(options: PresenceOptions) {
    this.#options = options;
  }

  /** Whether this instance is a member that all entry instances with a current list know. */
  get isEstablished(): boolean {
    if (this.#memberSince === undefined) return false;
    const isNew = !this.#wasMember && !this.#options.isFirstStart;
    return !isNew || performance.now() - this.#memberSince > NEW_MEMBER_MILLISECONDS;
  }

  /** Maintains the presence until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted && !this.#isReleased) {
      const isPublished = this.#options.mayRegister() && (await this.#maintain());
      await delay(isPublished ? TICK_MILLISECONDS : RETRY_MILLISECONDS, signal);
    }
  }

  /** Ends the presence, so that the others need not wait for its expiry. */
  async release(): Promise<void> {
    const leaseId = this.#leaseId;
    this.#leaseId = undefined;
    this.#isReleased = true;
    if (leaseId === undefined) return;
    await boundStoreCall(this.#options.store.revokeLease(leaseId), CALL_MILLISECONDS);
  }

  /** Removes this instance from the members, once it holds no turn that others need. */
  async resign(): Promise<boolean> {
    const { store, instance } = this.#options;
    const key = `${STORAGE_MEMBER_PREFIX}${instance}`;
    const read = await boundStoreCall(store.read(key), CALL_MILLISECONDS);
    if (read.isErr()) return this.#countFailure(read.error);
    if (!read.value) return true;
    const removed = await boundStoreCall(store.remove(key, read.value.revision), CALL_MILLISECONDS);
    return removed.isOk() ? removed.value : this.#countFailure(removed.error);
  }

  async #maintain(): Promise<boolean> {
    if (this.#leaseId === undefined) return this.#register();
    if (performance.now() - this.#renewedAt >= RENEWAL_MILLISECONDS) {
      if (!(await this.#renew(this.#leaseId))) return false;
    }
    return this.#leaseId === undefined ? false : this.#publish(this.#leaseId);
  }

  async #register(): Promise<boolean> {
    const { store, logger, instance } = this.#options;
    if (!(await this.#registerMember()) || this.#isReleased) return false;
    const granted = await boundStoreCall(store.grantLease(LEASE_MILLISECONDS), CALL_MILLISECONDS);
    if (granted.isErr()) return this.#countFailure(granted.error);
    this.#renewedAt = performance.now();
    this.#publishedValue = '';
    if (!(await this.#publish(granted.value.leaseId))) return false;
    if (this.#isReleased) return false;
    this.#leaseId = granted.value.leaseId;
    logger.info('storage.registered', { instance });
    return true;
  }

  /**
   * Writes the entry of the member at each registration: the new revision shows that an earlier absence
   * has ended.
   */
  async #registerMember(): Promise<boolean> {
    const { store, instance, incarnation, isLeaving, onRegistered } = this.#options;
    const key = `${STORAGE_MEMBER_PREFIX}${instance}`;
    const read = await boundStoreCall(store.read(key), CALL_MILLISECONDS);
    if (read.isErr()) return this.#countFailure(read.error);
    onRegistered(read.value !== undefined);
    if (isLeaving()) return true;
    const expectedRevision = read.value?.revision ?? 0;
    const value = JSON.stringify({ incarnation });
    const written = await boundStoreCall(
      store.compareAndSwap({ key, value, expectedRevision }),
      CALL_MILLISECONDS,
    );
    if (written.isErr()) return this.#countFailure(written.error);
    if (written.value.kind !== 'swapped') return false;
    if (this.#memberSince === undefined) {
      this.#memberSince = performance.now();
      this.#wasMember = read.value !== undefined;
    }
    return true;
  }

  async #renew(leaseId: string): Promise<boolean> {
    const { store, logger, instance } = this.#options;
    const sentAt = performance.now();
    const renewed = await boundStoreCall(store.renewLease(leaseId), CALL_MILLISECONDS);
    if (renewed.isOk()) {
      this.#renewedAt = sentAt;
      return true;
    }
    if (renewed.error.kind === 'lease-ended') {
      this.#leaseId = undefined;
      logger.warn('storage.lapsed', { instance });
    }
    return this.#countFailure(renewed.error);
  }

  async #publish(leaseId: string): Promise<boolean> {
    const { store, instance, describe, isSeen } = this.#options;
    const value = JSON.stringify(describe());
    const isUnseen = performance.now() - this.#publishedAt > UNSEEN_MILLISECONDS && !isSeen();
    if (value === this.#publishedValue && !isUnseen) return true;
    const key = `${STORAGE_PREFIX}${instance}`;
    const read = await boundStoreCall(store.read(key), CALL_MILLISECONDS);
    if (read.isErr()) return this.#countFailure(read.error);
    const expectedRevision = read.value?.revision ?? 0;
    const written = await boundStoreCall(
      store.compareAndSwap({ key, value, expectedRevision, leaseId }),
      CALL_MILLISECONDS,
    );
    if (written.isErr()) {
      if (written.error.kind === 'lease-ended') this.#leaseId = undefined;
      return this.#countFailure(written.error);
    }
    if (written.value.kind !== 'swapped') return false;
    this.#publishedValue = value;
    this.#publishedAt = performance.now();
    return true;
  }

  #countFailure({ kind }: StoreError): false {
    this.#options.metrics.increment('storage.store-failures', 1, { kind });
    return false;
  }
}

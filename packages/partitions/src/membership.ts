import type { Logger, Metrics } from '@limpetnotch/observability';
import type {
  KeyValueStore,
  Lease,
  StoreError,
  StoreListing,
  WatchEvent,
} from '@limpetnotch/store';
import { boundStoreCall, parseJson } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { Member } from './member';
import { memberSchema } from './member';
import type { PartitionSettings } from './partitionSettings';
import { followPrefix } from './util/followPrefix';

const INSTANCES_PREFIX = 'instances/';
const RENEWALS_PER_LEASE = 3;
const RETRIES_PER_RENEWAL = 4;
/** Limits the rate of listings by a large fleet, to stay within the read capacity of the store. */
const WATCH_RENEWAL_MILLISECONDS_PER_MEMBER = 20;

/** Options of a {@link Membership}. */
export interface MembershipOptions {
  readonly store: KeyValueStore;
  readonly identity: Member;
  readonly settings: PartitionSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when a member was added, removed or changed. */
  onChange(): void;
  /** Called when this instance has registered, at first or again after its lease had ended. */
  onRegistered(): void;
  /** Whether a member's process has ended according to the platform's list. */
  hasEnded(member: Member): boolean;
}

/** Lease of this instance, with its end by the monotonic clock and the wall clock. */
interface HeldLease {
  readonly leaseId: string;
  readonly monotonicEnd: number;
  readonly wallEnd: number;
}

/** Maintains this instance's lease in the store and tracks the live members by their leases. */
export class Membership {
  readonly #options: MembershipOptions;

  readonly #members = new Map<string, Member>();

  #identity: Member;

  #lease: HeldLease | undefined;

  #lastLeaseEnd = -Infinity;

  #registeredAt = Infinity;

  /** Time of the monotonic clock at which each live incarnation was first observed. */
  readonly #knownSince = new Map<string, number>();

  #storeReachable = false;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#identity = options.identity;
  }

  /** Description of this instance that it publishes to the others. */
  get identity(): Member {
    return this.#identity;
  }

  /** Returns the members with a live lease as last reported by the store, ordered by name. */
  members(): readonly Member[] {
    return [...this.#members.values()].sort((first, second) =>
      first.instance < second.instance ? -1 : 1,
    );
  }

  /** Whether this incarnation of an instance has a live lease. */
  isLive({ instance, incarnation }: Member): boolean {
    return this.#members.get(instance)?.incarnation === incarnation;
  }

  /**
   * Whether this instance's lease is certainly live. It is measured from before the renewal was
   * sent, by the monotonic clock, which steps of the wall clock do not affect, and by the wall
   * clock, which continues while the machine is suspended.
   */
  isLeaseValid(): boolean {
    const lease = this.#lease;
    if (!lease) return false;
    return performance.now() < lease.monotonicEnd && Date.now() < lease.wallEnd;
  }

  /** Returns the time of the monotonic clock at which the last lease ends or ended. */
  getLeaseEnd(): number {
    return this.#lastLeaseEnd;
  }

  /** Returns the time for which a member has been known, in milliseconds; 0 if it is unknown. */
  getKnownMilliseconds({ incarnation }: Member): number {
    const knownSince = this.#knownSince.get(incarnation);
    return knownSince === undefined ? 0 : performance.now() - knownSince;
  }

  /**
   * Whether a member's process has certainly ended: it has no lease, and either another incarnation
   * of the instance has one or the platform no longer lists the instance.
   */
  hasEnded(member: Member): boolean {
    if (this.isLive(member)) return false;
    const current = this.#members.get(member.instance);
    const isReplaced = current !== undefined && current.incarnation !== member.incarnation;
    return isReplaced || this.#options.hasEnded(member);
  }

  /** Whether the last registration or renewal of the lease succeeded. */
  isStoreReachable(): boolean {
    return this.#storeReachable;
  }

  /**
   * Returns the time since registration without a lapse of the lease, in milliseconds; 0 if there
   * is no valid lease.
   */
  getRegisteredMilliseconds(): number {
    return this.isLeaseValid() ? Math.max(0, performance.now() - this.#registeredAt) : 0;
  }

  /** Publishes that this instance claims no new partition. */
  async markLeaving(): Promise<void> {
    this.#identity = { ...this.#identity, leaving: true };
    if (this.#lease) await this.#publishIdentity(this.#lease.leaseId);
  }

  /** Revokes the lease, so that the others need not wait for its expiry. */
  async release(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    if (!lease) return;
    const { store, settings } = this.#options;
    await boundStoreCall(store.revokeLease(lease.leaseId), settings.storeDeadlineMilliseconds);
  }

  /** Returns the supervised tasks that maintain the lease and watch the members. */
  children(): readonly ChildSpecification[] {
    return [
      {
        name: 'membership.lease',
        restart: 'always',
        run: (context) => this.#maintainLease(context),
      },
      {
        name: 'membership.watch',
        restart: 'always',
        run: (context) => this.#watchMembers(context),
      },
    ];
  }

  async #maintainLease({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const interval = this.#options.settings.leaseMilliseconds / RENEWALS_PER_LEASE;
    while (!signal.aborted) {
      const hasLease = this.#lease ? await this.#renew(this.#lease) : await this.#register();
      this.#storeReachable = hasLease;
      await delay(hasLease ? interval : interval / RETRIES_PER_RENEWAL, signal);
    }
  }

  async #register(): Promise<boolean> {
    const { store, settings, logger, metrics } = this.#options;
    const sentAt = { monotonic: performance.now(), wall: Date.now() };
    const granted = await boundStoreCall(
      store.grantLease(settings.leaseMilliseconds),
      settings.storeDeadlineMilliseconds,
    );
    if (granted.isErr()) return this.#countFailure(granted.error);
    if (!(await this.#publishIdentity(granted.value.leaseId))) return false;
    this.#setLease(granted.value, sentAt.monotonic, sentAt.wall);
    this.#registeredAt = performance.now();
    metrics.increment('membership.registrations');
    logger.info('membership.registered', { instance: this.#identity.instance });
    this.#options.onRegistered();
    return true;
  }

  async #renew({ leaseId }: HeldLease): Promise<boolean> {
    const { store, settings, logger, metrics } = this.#options;
    const sentAt = { monotonic: performance.now(), wall: Date.now() };
    const renewed = await boundStoreCall(
      store.renewLease(leaseId),
      Math.min(settings.storeDeadlineMilliseconds, settings.leaseMilliseconds / RENEWALS_PER_LEASE),
    );
    if (renewed.isOk()) {
      this.#setLease(renewed.value, sentAt.monotonic, sentAt.wall);
      return true;
    }
    if (renewed.error.kind !== 'lease-ended') return this.#countFailure(renewed.error);
    this.#lease = undefined;
    metrics.increment('membership.lapses');
    logger.warn('membership.lapsed', { instance: this.#identity.instance });
    return this.#register();
  }

  #setLease(lease: Lease, monotonicStart: number, wallStart: number): void {
    // A lapse by the local clocks that the store did not observe also restarts the settling time.
    if (this.#lease && !this.isLeaseValid()) this.#registeredAt = performance.now();
    const { leaseId, timeToLiveMilliseconds } = lease;
    this.#lease = {
      leaseId,
      monotonicEnd: monotonicStart + timeToLiveMilliseconds,
      wallEnd: wallStart + timeToLiveMilliseconds,
    };
    this.#lastLeaseEnd = this.#lease.monotonicEnd;
  }

  #countFailure({ kind }: StoreError): false {
    this.#options.metrics.increment('membership.renewal-failures', 1, { kind });
    return false;
  }

  /** Writes this instance's key with its lease; the next attempt resolves an unknown outcome. */
  async #publishIdentity(leaseId: string): Promise<boolean> {
    const { store, settings } = this.#options;
    const key = `${INSTANCES_PREFIX}${this.#identity.instance}`;
    const current = await boundStoreCall(store.read(key), settings.storeDeadlineMilliseconds);
    if (current.isErr()) return this.#countFailure(current.error);
    const value = JSON.stringify(this.#identity);
    const expectedRevision = current.value?.revision ?? 0;
    const written = await boundStoreCall(
      store.compareAndSwap({ key, expectedRevision, value, leaseId }),
      settings.storeDeadlineMilliseconds,
    );
    if (written.isErr()) return this.#countFailure(written.error);
    return written.value.kind === 'swapped';
  }

  async #watchMembers({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const { store, settings, metrics } = this.#options;
    await followPrefix({
      store,
      prefix: INSTANCES_PREFIX,
      signal,
      deadlineMilliseconds: settings.storeDeadlineMilliseconds,
      renewalMilliseconds: () =>
        Math.max(
          settings.watchRenewalMilliseconds,
          this.#members.size * WATCH_RENEWAL_MILLISECONDS_PER_MEMBER,
        ),
      onListing: (listing) => this.#applyListing(listing),
      onEvent: (event) => this.#applyEvent(event),
      onFailure: () => metrics.increment('membership.watch-failures'),
    });
  }

  #applyListing({ entries }: StoreListing): void {
    this.#members.clear();
    entries.forEach(({ value }) => this.#applyValue(value));
    this.#handleChange();
  }

  #applyEvent(event: WatchEvent): void {
    switch (event.kind) {
      case 'put':
        this.#applyValue(event.entry.value);
        break;
      case 'removed':
        this.#members.delete(event.key.slice(INSTANCES_PREFIX.length));
        break;
      case 'progress':
        return;
      // no default
    }
    this.#handleChange();
  }

  #applyValue(value: string): void {
    const member = parseJson(memberSchema, value);
    if (member) this.#members.set(member.instance, member);
    else this.#options.metrics.increment('membership.malformed-members');
  }

  #handleChange(): void {
    const now = performance.now();
    const live = new Set([...this.#members.values()].map(({ incarnation }) => incarnation));
    live.forEach((incarnation) => {
      if (!this.#knownSince.has(incarnation)) this.#knownSince.set(incarnation, now);
    });
    [...this.#knownSince.keys()]
      .filter((incarnation) => !live.has(incarnation))
      .forEach((incarnation) => this.#knownSince.delete(incarnation));
    this.#options.metrics.gauge('membership.members', this.#members.size);
    this.#options.onChange();
  }
}

import type { Logger, Metrics } from '@limpetnotch/observability';
import type {
  KeyValueStore,
  Lease,
  StoreError,
  StoreListing,
  WatchEvent,
} from '@limpetnotch/store';
import { boundStoreCall, parseWith } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { delay } from '@limpetnotch/supervision';
import type { Member } from './member';
import { memberSchema } from './member';
import type { PartitionSettings } from './partitionSettings';
import { followPrefix } from './util/followPrefix';

const INSTANCES_PREFIX = 'instances/';
const RENEWALS_PER_LEASE = 3;
const RETRIES_PER_RENEWAL = 4;
/** Keeps the listings of a large fleet within the store's reads. */
const RENEWAL_MILLISECONDS_PER_MEMBER = 20;

/** Options of a {@link Membership}. */
export interface MembershipOptions {
  readonly store: KeyValueStore;
  readonly identity: Member;
  readonly settings: PartitionSettings;
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Called when a member came, went or changed. */
  onChange(): void;
  /** Called when this instance registered anew after its lease had ended. */
  onRegistered(): void;
  /** Whether the platform's list says that a member's process has ended. */
  isGone(member: Member): boolean;
}

/** The lease of this instance, by its own clocks. */
interface HeldLease {
  readonly leaseId: string;
  readonly monotonicEnd: number;
  readonly wallEnd: number;
}

/** Holds this instance's lease in the store and knows the live members by theirs. */
export class Membership {
  readonly #options: MembershipOptions;

  readonly #members = new Map<string, Member>();

  #identity: Member;

  #lease: HeldLease | undefined;

  #lastLeaseEnd = -Infinity;

  #registeredAt = Infinity;

  /** Times at which incarnations were first seen. */
  readonly #knownSince = new Map<string, number>();

  #storeReachable = false;

  constructor(options: MembershipOptions) {
    this.#options = options;
    this.#identity = options.identity;
  }

  /** This instance as it describes itself to the others. */
  get identity(): Member {
    return this.#identity;
  }

  /** Members whose lease was live when the store last said so, in the order of their names. */
  members(): readonly Member[] {
    return [...this.#members.values()].sort((first, second) =>
      first.instance < second.instance ? -1 : 1,
    );
  }

  /** Whether this very start of an instance has a live lease. */
  isLive({ instance, incarnation }: Member): boolean {
    return this.#members.get(instance)?.incarnation === incarnation;
  }

  /**
   * Whether this instance's lease is certainly live: counted from before the renewal was sent,
   * by the monotonic clock (which a step of the wall clock does not move) and by the wall clock
   * (which goes on while the machine is suspended).
   */
  isLeaseValid(): boolean {
    const lease = this.#lease;
    if (!lease) return false;
    return performance.now() < lease.monotonicEnd && Date.now() < lease.wallEnd;
  }

  /** Time of the monotonic clock at which the last lease ends or ended. */
  leaseEnd(): number {
    return this.#lastLeaseEnd;
  }

  /** Time since a member is known, in milliseconds; 0 if it is not. */
  memberForMilliseconds({ incarnation }: Member): number {
    const since = this.#knownSince.get(incarnation);
    return since === undefined ? 0 : performance.now() - since;
  }

  /**
   * Whether a member's process has certainly ended: it has no lease, and another start of the
   * instance has one or the platform no longer lists it.
   */
  isGone(member: Member): boolean {
    if (this.isLive(member)) return false;
    const current = this.#members.get(member.instance);
    const isReplaced = current !== undefined && current.incarnation !== member.incarnation;
    return isReplaced || this.#options.isGone(member);
  }

  /** Whether the store answered the last renewal of the lease. */
  isStoreReachable(): boolean {
    return this.#storeReachable;
  }

  /** Time since this instance registered without a lapse, in milliseconds; 0 if it has not. */
  registeredForMilliseconds(): number {
    return this.isLeaseValid() ? Math.max(0, performance.now() - this.#registeredAt) : 0;
  }

  /** Tells the others that this instance takes no new partition. */
  async markLeaving(): Promise<void> {
    this.#identity = { ...this.#identity, leaving: true };
    if (this.#lease) await this.#publish(this.#lease.leaseId);
  }

  /** Ends the lease, so that the others need not wait for it to lapse. */
  async release(): Promise<void> {
    const lease = this.#lease;
    this.#lease = undefined;
    if (!lease) return;
    const { store, settings } = this.#options;
    await boundStoreCall(store.revokeLease(lease.leaseId), settings.storeDeadlineMilliseconds);
  }

  /** Tasks for the supervisor: the lease, and the watch on the others. */
  children(): readonly ChildSpecification[] {
    return [
      { name: 'membership.lease', restart: 'always', run: (context) => this.#keepLease(context) },
      { name: 'membership.watch', restart: 'always', run: (context) => this.#follow(context) },
    ];
  }

  async #keepLease({ signal, ready }: ChildContext): Promise<void> {
    ready();
    const interval = this.#options.settings.leaseMilliseconds / RENEWALS_PER_LEASE;
    while (!signal.aborted) {
      const isHeld = this.#lease ? await this.#renew(this.#lease) : await this.#register();
      this.#storeReachable = isHeld;
      await delay(isHeld ? interval : interval / RETRIES_PER_RENEWAL, signal);
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
    if (!(await this.#publish(granted.value.leaseId))) return false;
    this.#hold(granted.value, sentAt.monotonic, sentAt.wall);
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
      this.#hold(renewed.value, sentAt.monotonic, sentAt.wall);
      return true;
    }
    if (renewed.error.kind !== 'lease-ended') return this.#countFailure(renewed.error);
    this.#lease = undefined;
    metrics.increment('membership.lapses');
    logger.warn('membership.lapsed', { instance: this.#identity.instance });
    return this.#register();
  }

  #hold(lease: Lease, monotonicStart: number, wallStart: number): void {
    // A lapse by our own clock that the store did not see still restarts the settling time.
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

  /** Writes this instance's key with its lease; a lost answer is settled by the next attempt. */
  async #publish(leaseId: string): Promise<boolean> {
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

  async #follow({ signal, ready }: ChildContext): Promise<void> {
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
          this.#members.size * RENEWAL_MILLISECONDS_PER_MEMBER,
        ),
      onListing: (listing) => this.#takeListing(listing),
      onEvent: (event) => this.#takeEvent(event),
      onFailure: () => metrics.increment('membership.watch-failures'),
    });
  }

  #takeListing({ entries }: StoreListing): void {
    this.#members.clear();
    entries.forEach(({ value }) => this.#take(value));
    this.#changed();
  }

  #takeEvent(event: WatchEvent): void {
    switch (event.kind) {
      case 'put':
        this.#take(event.entry.value);
        break;
      case 'removed':
        this.#members.delete(event.key.slice(INSTANCES_PREFIX.length));
        break;
      case 'progress':
        return;
      // no default
    }
    this.#changed();
  }

  #take(value: string): void {
    const member = parseWith(memberSchema, value);
    if (member) this.#members.set(member.instance, member);
    else this.#options.metrics.increment('membership.malformed-members');
  }

  #changed(): void {
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

import type { Logger } from '@limpetnotch/observability';
import type { ObservingFleet, SharedObservation } from '@limpetnotch/observation';
import type { KeyValueStore, PrefixListener, StoreEntry } from '@limpetnotch/store';
import { compareAndSwapUntilKnown, parseJson } from '@limpetnotch/store';
import type { ChildContext, ChildSpecification } from '@limpetnotch/supervision';
import { Deferred, delay, untilAborted } from '@limpetnotch/supervision';
import { StorageDirectory } from '@limpetnotch/turns';
import { z } from 'zod';
import { MemberListHistory } from '../budgets/memberListHistory';
import { WatchStatus } from '../fleet/watchStatus';
import type { LimitMembership } from '../limits/limitPeers';
import { MemberLists } from '../limits/memberLists';
import type { QuarantineLedger } from '../quarantine/quarantineLedger';
import { QUARANTINE_PREFIX } from '../quarantine/quarantineLedger';
import type { RateLayout } from '../quotas/rateLayout';
import { RateLayouts } from '../quotas/rateLayouts';
import { HASH_RANGE, hash32 } from '../util/hash32';

const PREFIX = 'limpetnotch/';
const PRESENCE_PREFIX = `${PREFIX}instances/`;
const MEMBERS_KEY = `${PREFIX}members`;

/** Duration of the presence lease: presence expires this long after its last renewal. */
const PRESENCE_LEASE_MILLISECONDS = 5_000;
const RENEWAL_MILLISECONDS = 1_600;

/**
 * Silence after which the membership watch is restarted; joins and leaves, its only events, are
 * rare.
 */
const WATCH_SILENCE_MILLISECONDS = 15_000;

/**
 * Time after which the share of an absent instance passes to the others. Longer than a restart or a
 * network failure usually lasts, as an instance that is only disconnected keeps spending its share.
 */
const ABSENCE_MILLISECONDS = 25_000;
const ABSENCE_CHECK_MILLISECONDS = 3_000;

/** Delay before a new member uses its share, until the others have been notified of it. */
const JOIN_DELAY_MILLISECONDS = 1_500;

const RETRY_MILLISECONDS = 300;

/** Changes of the members or presences within this time are read together. */
const WATCH_PAUSE_MILLISECONDS = 200;

/**
 * Time that a new instance waits to be listed by another one before it lists itself, and the spread
 * of this time over the instances. Instances of one fleet start within 300 ms.
 */
const LISTING_WAIT_MILLISECONDS = 300;
const LISTING_SPREAD_MILLISECONDS = 500;

/**
 * Time for which the list of members counts as confirmed after the store responded; two renewals of
 * the presence lease.
 */
const CONFIRMATION_MILLISECONDS = 3_500;

const presenceSchema = z.object({
  address: z.string(),
  /** Absent from instances of earlier versions. */
  availabilityZone: z.string().optional(),
  /** Whether the instance can share rates among chosen holders; absent from earlier versions. */
  choosesHolders: z.boolean().optional(),
  /** Whether the instance can relay changes of the store; absent from earlier versions. */
  relaysChanges: z.boolean().optional(),
});

type Presence = z.infer<typeof presenceSchema>;

const membersSchema = z.object({
  members: z.array(z.string()),
  /** Members that can share rates among chosen holders; absent if an earlier version wrote it. */
  choosingMembers: z.array(z.string()).default([]),
});

type MemberList = Readonly<Record<keyof z.infer<typeof membersSchema>, readonly string[]>>;

const isQuarantineKey = (key: string): boolean => key.startsWith(QUARANTINE_PREFIX);

/** Parts of a {@link Membership}. */
export interface MembershipParts {
  readonly store: KeyValueStore;
  readonly observation: Pick<SharedObservation, 'follow'>;
  readonly instance: string;
  /** Address (`host:port`) on which this instance serves other instances. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly logger: Logger;
  /** Called when the members or the instances that are present have changed. */
  readonly onChange: () => void;
  /** Receives the entries of storage instances, which share the prefix as well. */
  readonly storage: Pick<StorageDirectory, 'replaceAll' | 'put' | 'remove'>;
  /** Receives the quarantine entries, which share the prefix and so the watch of the membership. */
  readonly ledger: Pick<QuarantineLedger, 'replaceAll' | 'read' | 'forget'>;
}

/**
 * Instances that share the rates of organisations. The members are listed in one store key, each
 * with an equal share; a presence key with a lease holds the address of each present instance. A
 * member that is absent for too long is removed from the list by the first instance that is present.
 */
export class Membership implements LimitMembership {
  readonly #parts: MembershipParts;

  readonly #lists = new MemberLists();

  readonly #history = new MemberListHistory();

  #storeRespondedAtMilliseconds = -Infinity;

  #isReadingMembers = false;

  #membersRevision = 0;

  #choosingMembers: ReadonlySet<string> = new Set();

  readonly #layouts: RateLayouts;

  readonly #present = new Map<string, Presence>();

  readonly #absentSince = new Map<string, number>();

  readonly #watchStatus: WatchStatus;

  /** Resolves once the members and presences were listed for the first time in this process. */
  readonly #listed = new Deferred<void>();

  #isChangePending = false;

  #hasJoined = false;

  constructor(parts: MembershipParts) {
    this.#parts = parts;
    this.#layouts = new RateLayouts(parts);
    this.#watchStatus = new WatchStatus(parts.logger, PREFIX);
  }

  get tasks(): readonly ChildSpecification[] {
    return [
      { name: 'membership', restart: 'always', run: (context) => this.#follow(context) },
      { name: 'presence', restart: 'always', run: (context) => this.#keepPresence(context) },
      { name: 'absence', restart: 'always', run: (context) => this.#removeAbsentMembers(context) },
    ];
  }

  /** How rates are shared, and which part this instance holds. */
  get rateLayout(): RateLayout {
    return this.#layouts.current;
  }

  get instance(): string {
    return this.#parts.instance;
  }

  get membersRevision(): number {
    return this.#membersRevision;
  }

  get memberLists(): readonly (readonly string[])[] {
    return this.#lists.recent;
  }

  get isConfirmed(): boolean {
    return performance.now() - this.#storeRespondedAtMilliseconds < CONFIRMATION_MILLISECONDS;
  }

  noteRevision(revision: number): void {
    if (revision <= this.#membersRevision || this.#isReadingMembers) return;
    this.#isReadingMembers = true;
    void this.#readMembers().finally(() => {
      this.#isReadingMembers = false;
    });
  }

  /** Lists of members on which tokens may have been granted without the store. */
  get history(): MemberListHistory {
    return this.#history;
  }

  /** Names of the other members, including absent ones. */
  get others(): readonly string[] {
    return this.#lists.current.filter((name) => name !== this.#parts.instance);
  }

  /** Other instances that are present, with their addresses. */
  get peers(): ReadonlyMap<string, string> {
    return new Map(
      [...this.#present]
        .filter(([name]) => name !== this.#parts.instance)
        .map(([name, { address }]) => [name, address]),
    );
  }

  /** Returns the availability zone of an instance; undefined if it announces none. */
  availabilityZoneOf(name: string): string | undefined {
    return this.#present.get(name)?.availabilityZone;
  }

  /** Availability zone of each instance that is present, including this one. */
  get presentZones(): readonly string[] {
    const { instance, availabilityZone: ownZone } = this.#parts;
    const others = [...this.#present].filter(([name]) => name !== instance);
    return [ownZone, ...others.map(([, { availabilityZone = ownZone }]) => availabilityZone)];
  }

  /** The instances that may observe the store together. */
  get observingFleet(): ObservingFleet {
    const present = [...this.#present].map(([name, { availabilityZone, relaysChanges }]) => ({
      name,
      availabilityZone,
      canRelay: relaysChanges === true,
    }));
    return { size: new Set([...this.#lists.current, ...this.#present.keys()]).size, present };
  }

  /**
   * Rank of this instance among those present, from 0; assigns tasks that one instance performs.
   */
  get rank(): number {
    const names = [...this.#present.keys()].sort();
    return Math.max(0, names.indexOf(this.#parts.instance));
  }

  /** Number of instances that are present, including this one. */
  get presentCount(): number {
    return Math.max(1, this.#present.size);
  }

  async #follow({ signal, ready }: ChildContext): Promise<void> {
    ready();
    await this.#parts.observation.follow({
      prefix: PREFIX,
      listener: this.#listener(),
      signal,
      silenceMilliseconds: WATCH_SILENCE_MILLISECONDS,
      pauseMilliseconds: WATCH_PAUSE_MILLISECONDS,
    });
  }

  #listener(): PrefixListener {
    return {
      replaced: (entries) => {
        this.#present.clear();
        this.#parts.ledger.replaceAll(entries.filter(({ key }) => isQuarantineKey(key)));
        this.#parts.storage.replaceAll(entries.filter(({ key }) => StorageDirectory.owns(key)));
        entries.filter(({ key }) => !isQuarantineKey(key)).forEach((entry) => this.#apply(entry));
        this.#updateLayout();
        this.#recordAbsences();
        this.#parts.onChange();
        this.#listed.resolve(undefined);
      },
      put: (entry) => {
        if (isQuarantineKey(entry.key)) {
          this.#parts.ledger.read(entry);
          return;
        }
        if (StorageDirectory.owns(entry.key)) {
          this.#parts.storage.put(entry);
          return;
        }
        this.#apply(entry);
        this.#scheduleChange();
      },
      removed: (key) => {
        if (isQuarantineKey(key)) {
          this.#parts.ledger.forget(key);
          return;
        }
        if (StorageDirectory.owns(key)) {
          this.#parts.storage.remove(key);
          return;
        }
        this.#present.delete(key.slice(PRESENCE_PREFIX.length));
        this.#scheduleChange();
      },
      confirmed: () => {
        this.#storeRespondedAtMilliseconds = performance.now();
        this.#watchStatus.recordRecovery();
      },
      lost: (detail) => this.#watchStatus.recordLoss(detail),
    };
  }

  #apply(entry: StoreEntry): void {
    if (entry.key === MEMBERS_KEY) {
      this.#setMembers(entry);
      return;
    }
    if (!entry.key.startsWith(PRESENCE_PREFIX)) return;
    const presence = parseJson(presenceSchema, entry.value);
    if (presence) this.#present.set(entry.key.slice(PRESENCE_PREFIX.length), presence);
    else this.#parts.logger.warn('membership.unreadable', { key: entry.key });
  }

  #setMembers(entry: StoreEntry): void {
    if (entry.revision <= this.#membersRevision) return;
    const list = parseJson(membersSchema, entry.value);
    if (!list) {
      this.#parts.logger.warn('membership.unreadable', { key: entry.key });
      return;
    }
    this.#lists.record(list.members);
    this.#history.record(list.members);
    this.#choosingMembers = new Set(list.choosingMembers);
    this.#membersRevision = entry.revision;
    this.#updateLayout();
    this.#parts.logger.info('membership.members', {
      members: list.members.length,
      revision: entry.revision,
    });
  }

  /** Rates are shared among chosen holders only if all members can, present ones by their own word. */
  #updateLayout(): void {
    const members = this.#lists.current;
    const canAllChoose = members.every((name) => {
      const presence = this.#present.get(name);
      return this.#choosingMembers.has(name) && (!presence || presence.choosesHolders === true);
    });
    this.#layouts.update(members, canAllChoose);
  }

  /** Applies the changes that one response of the store brings together. */
  #scheduleChange(): void {
    if (this.#isChangePending) return;
    this.#isChangePending = true;
    setImmediate(() => {
      this.#isChangePending = false;
      this.#updateLayout();
      this.#recordAbsences();
      this.#parts.onChange();
    });
  }

  #recordAbsences(): void {
    const now = performance.now();
    this.#lists.current.forEach((name) => {
      if (this.#present.has(name)) this.#absentSince.delete(name);
      else if (!this.#absentSince.has(name)) this.#absentSince.set(name, now);
    });
  }

  /** Announces this instance, joins the members and renews the presence lease. */
  async #keepPresence({ signal, ready }: ChildContext): Promise<void> {
    ready();
    await Promise.race([this.#listed.promise, untilAborted(signal)]);
    // Before its presence is announced, as another one may list it then.
    const isNew = !this.#isMember;
    let leaseId = await this.#registerPresence();
    let joining = this.#join(signal, isNew);
    while (!signal.aborted) {
      await delay(leaseId === undefined ? RETRY_MILLISECONDS : RENEWAL_MILLISECONDS, signal);
      if (signal.aborted) break;
      leaseId = leaseId === undefined ? await this.#registerPresence() : await this.#renew(leaseId);
      // Others remove a member that was absent, and earlier versions don't keep who chooses holders.
      if (this.#hasJoined && !this.#isListed) joining = this.#join(signal, !this.#isMember);
    }
    await joining;
    if (leaseId !== undefined) await this.#parts.store.revokeLease(leaseId);
  }

  async #registerPresence(): Promise<string | undefined> {
    const { store, instance, address, availabilityZone, logger } = this.#parts;
    const lease = await store.grantLease(PRESENCE_LEASE_MILLISECONDS);
    if (lease.isErr()) {
      logger.info('membership.announce-failed', { detail: lease.error.detail });
      return undefined;
    }
    const { leaseId } = lease.value;
    const key = `${PRESENCE_PREFIX}${instance}`;
    const value = JSON.stringify({
      address,
      availabilityZone,
      choosesHolders: true,
      relaysChanges: true,
    } satisfies Presence);
    let expectedRevision = 0;
    for (let attempt = 0; attempt < 3; attempt += 1) {
      const written = await store.compareAndSwap({ key, value, expectedRevision, leaseId });
      if (written.isErr()) {
        logger.info('membership.announce-failed', { detail: written.error.detail });
        return undefined;
      }
      if (written.value.kind === 'swapped') return leaseId;
      expectedRevision = written.value.current?.revision ?? 0;
    }
    return undefined;
  }

  async #renew(leaseId: string): Promise<string | undefined> {
    const renewed = await this.#parts.store.renewLease(leaseId);
    // Any other failure leaves the lease unchanged; the next renewal may succeed.
    if (renewed.isErr()) return renewed.error.kind === 'lease-ended' ? undefined : leaseId;
    this.#storeRespondedAtMilliseconds = performance.now();
    return leaseId;
  }

  async #readMembers(): Promise<void> {
    const read = await this.#parts.store.read(MEMBERS_KEY);
    if (read.isErr() || !read.value) return;
    this.#storeRespondedAtMilliseconds = performance.now();
    this.#setMembers(read.value);
    this.#parts.onChange();
  }

  get #isMember(): boolean {
    return this.#lists.current.includes(this.#parts.instance);
  }

  /** Whether this instance is a member that is known to choose holders. */
  get #isListed(): boolean {
    return this.#isMember && this.#choosingMembers.has(this.#parts.instance);
  }

  /** Joins the members; a new member uses its share only once the others have been notified. */
  async #join(signal: AbortSignal, isNew: boolean): Promise<void> {
    this.#hasJoined = false;
    if (!isNew) this.#layouts.grantShare();
    if (!this.#isListed) {
      await delay(LISTING_WAIT_MILLISECONDS + this.#listingSpreadMilliseconds, signal);
    }
    while (!signal.aborted && !this.#isListed) {
      await this.#changeMembers(signal, (members) => this.#withPresent(members));
      if (!this.#isListed) await delay(RETRY_MILLISECONDS, signal);
    }
    if (signal.aborted) return;
    this.#parts.logger.info('membership.joined', { members: this.#lists.current.length, isNew });
    if (isNew) await delay(JOIN_DELAY_MILLISECONDS, signal);
    this.#layouts.grantShare();
    this.#hasJoined = true;
    this.#parts.onChange();
  }

  get #listingSpreadMilliseconds(): number {
    return (LISTING_SPREAD_MILLISECONDS * hash32(this.#parts.instance)) / HASH_RANGE;
  }

  /** Returns the members and all present instances, as instances that start together also join. */
  #withPresent(members: readonly string[]): readonly string[] {
    return [...new Set([...members, ...this.#present.keys(), this.#parts.instance])].sort();
  }

  #canChooseHolders(name: string): boolean {
    if (name === this.#parts.instance) return true;
    const presence = this.#present.get(name);
    return presence ? presence.choosesHolders === true : this.#choosingMembers.has(name);
  }

  /** Changes the list of members; returns whether the list is then as requested. */
  async #changeMembers(
    signal: AbortSignal,
    change: (members: readonly string[]) => readonly string[],
  ): Promise<boolean> {
    const { store } = this.#parts;
    const read = await store.read(MEMBERS_KEY);
    if (read.isErr()) return false;
    if (read.value) this.#setMembers(read.value);
    const wanted = change(read.value ? this.#lists.current : []);
    const choosing = wanted.filter((name) => this.#canChooseHolders(name));
    const isAsWanted =
      wanted.join() === this.#lists.current.join() &&
      choosing.length === wanted.filter((name) => this.#choosingMembers.has(name)).length;
    if (read.value && isAsWanted) return true;
    const value = JSON.stringify({
      members: wanted,
      choosingMembers: choosing,
    } satisfies MemberList);
    const written = await compareAndSwapUntilKnown({
      store,
      request: { key: MEMBERS_KEY, expectedRevision: read.value?.revision ?? 0, value },
      isOwnWrite: (entry) => entry.value === value,
      signal,
    });
    if (written.isErr() || written.value.kind === 'conflict') return false;
    this.#setMembers({ key: MEMBERS_KEY, value, revision: written.value.revision });
    return true;
  }

  /**
   * Removes members that are absent for too long from the list; performed by the first instance that
   * is present.
   */
  async #removeAbsentMembers({ signal, ready }: ChildContext): Promise<void> {
    ready();
    while (!signal.aborted) {
      await delay(ABSENCE_CHECK_MILLISECONDS, signal);
      const now = performance.now();
      const absentNames = [...this.#absentSince]
        .filter(([, absentSince]) => now - absentSince > ABSENCE_MILLISECONDS)
        .map(([name]) => name);
      if (absentNames.length > 0 && this.rank === 0) {
        absentNames.forEach((name) => this.#absentSince.delete(name));
        await this.#changeMembers(signal, (members) =>
          members.filter((name) => !absentNames.includes(name)),
        );
        this.#parts.logger.info('membership.dropped', { dropped: absentNames.join() });
      }
    }
  }
}

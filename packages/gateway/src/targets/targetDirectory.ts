import type { FleetTarget } from './fleetTarget';

/**
 * How long a leaving target may receive retries. It serves for two seconds after its announcement
 * has changed in the store or was removed; the announcement and the request need up to one second
 * to arrive.
 */
const LEAVING_RETRY_MILLISECONDS = 1_000;

/**
 * Departures are kept for longer than a leaving target serves, so that its end is not mistaken for a
 * crash, and for longer than requests may be retried there.
 */
const DEPARTURE_RETENTION_MILLISECONDS = 10_000;

/**
 * A target that refused a connection or answered as another one is not used for this long. It may
 * be sound, as an announcement that says nothing new is not repeated to the instances.
 */
const REFUSAL_MILLISECONDS = 2_000;

/** Incarnations that are recorded as leaving; the oldest are evicted beyond this number. */
const MAXIMUM_LEAVING_INCARNATIONS = 1_000;

const isSameIncarnation = (one: FleetTarget, other: FleetTarget): boolean =>
  one.address === other.address &&
  one.bornMilliseconds === other.bornMilliseconds &&
  one.version === other.version;

/** How announcements show that a target ended without announcing that it leaves. */
export type AnnouncementEvidence = 'started-again' | 'address-taken' | 'lapsed';

/** When a target stopped accepting new requests, and whether it announced that itself. */
interface Departure {
  readonly atMilliseconds: number;
  readonly isAnnounced: boolean;
}

/**
 * Targets that may receive new requests. Announcements that lapsed during a store outage are
 * renewed shortly after it, so a removal seen then only takes effect after a grace period.
 */
export class TargetDirectory {
  readonly #targets = new Map<string, FleetTarget>();

  /** Targets whose announcement lapsed during an outage, with the time at which to remove them. */
  readonly #lapsed = new Map<string, number>();

  /** Targets found to be unavailable at a dispatch, with the time until which they are not used. */
  readonly #refused = new Map<string, number>();

  /** Targets that have stopped accepting new requests. */
  readonly #departures = new Map<string, Departure>();

  /** Incarnations that reported in a response that they are leaving, by target id. */
  readonly #leaving = new Map<string, FleetTarget>();

  #graceUntilMilliseconds = 0;

  #servingByService = new Map<string, readonly FleetTarget[]>();

  #cachedLatestStarts: ReadonlyMap<string, number> | undefined;

  /** Adds or updates a target. */
  put(announced: FleetTarget): void {
    const target = this.#applyLeavingState(announced);
    this.#lapsed.delete(target.id);
    this.#refused.delete(target.id);
    if (target.state === 'leaving') this.#recordDeparture(target.id, true);
    else this.#departures.delete(target.id);
    this.#targets.set(target.id, target);
    this.#invalidateCaches();
  }

  /** Removes a target immediately or, shortly after a store outage, after the grace period. */
  remove(id: string): void {
    if (performance.now() < this.#graceUntilMilliseconds && this.#targets.has(id)) {
      this.#lapsed.set(id, this.#graceUntilMilliseconds);
      return;
    }
    this.#removeNow(id);
  }

  /** Replaces the complete list, for example after reading the store. */
  replaceAll(targets: readonly FleetTarget[]): void {
    const listed = new Set(targets.map(({ id }) => id));
    [...this.#targets.keys()].filter((id) => !listed.has(id)).forEach((id) => this.remove(id));
    targets.forEach((target) => this.put(target));
  }

  /** Keeps targets without an announcement for the given time from now on. */
  startGracePeriod(milliseconds: number): void {
    this.#graceUntilMilliseconds = performance.now() + milliseconds;
  }

  /** Records that another target responded at a target's address, or that it refused a connection. */
  markRefused({ id, address }: FleetTarget): void {
    if (this.#targets.get(id)?.address !== address) return;
    this.#refused.set(id, performance.now() + REFUSAL_MILLISECONDS);
    this.#invalidateCaches();
  }

  /**
   * Records that a target reported in a response that it is leaving. This applies to the incarnation
   * for good, whatever the store says later. Returns whether this changed the target's state.
   */
  markLeaving(target: FleetTarget): boolean {
    const current = this.#targets.get(target.id);
    if (current && !isSameIncarnation(current, target)) return false;
    this.#recordLeavingIncarnation(target);
    if (current?.state !== 'serving') return false;
    this.put(current);
    return true;
  }

  /** Announced targets, including those that leave. */
  get all(): readonly FleetTarget[] {
    this.#expireLapsed();
    return [...this.#targets.values()];
  }

  /** Returns the targets of a service that may receive new requests. */
  getServing(service: string): readonly FleetTarget[] {
    this.#expireLapsed();
    const cached = this.#servingByService.get(service);
    if (cached) return cached;
    const serving = [...this.#targets.values()].filter(
      (target) =>
        target.service === service &&
        target.state === 'serving' &&
        !this.#refused.has(target.id) &&
        this.#findLaterStart(target) === undefined,
    );
    this.#servingByService.set(service, serving);
    return serving;
  }

  /** Whether a target may receive new requests. */
  isServing(target: FleetTarget): boolean {
    return this.getServing(target.service).some(({ id }) => id === target.id);
  }

  /** Whether a request may be retried at a target that received it before, also while it leaves. */
  mayRetry(id: string): boolean {
    this.#expireLapsed();
    if (this.#targets.get(id)?.state === 'serving') return true;
    const departure = this.#departures.get(id);
    if (!departure) return false;
    return performance.now() - departure.atMilliseconds < LEAVING_RETRY_MILLISECONDS;
  }

  /**
   * Whether this incarnation of a target leaves as planned. A target that withdraws its announcement
   * continues to serve for a while, unless it has been unresponsive for as long as an announcement
   * takes to lapse.
   */
  isLeaving(target: FleetTarget, isUnresponsive: boolean): boolean {
    const current = this.get(target.id);
    if (current) return isSameIncarnation(current, target) && current.state === 'leaving';
    return !isUnresponsive || this.#departures.get(target.id)?.isAnnounced === true;
  }

  /**
   * Returns how the announcements show that an incarnation of a target has ended; undefined if they
   * don't. Some targets withdraw their announcement and continue to serve, so a missing one is only
   * evidence if the target is unresponsive.
   */
  findCrashEvidence(
    target: FleetTarget,
    isUnresponsive: boolean,
  ): AnnouncementEvidence | undefined {
    const current = this.get(target.id);
    if (current && !isSameIncarnation(current, target)) return 'started-again';
    if (current) return this.#findLaterStart(current) === undefined ? undefined : 'address-taken';
    const hasAnnounced = this.#departures.get(target.id)?.isAnnounced === true;
    return isUnresponsive && !hasAnnounced ? 'lapsed' : undefined;
  }

  /** Whether another incarnation is announced under the id of a target. */
  wasReplaced(target: FleetTarget): boolean {
    const current = this.get(target.id);
    return current !== undefined && !isSameIncarnation(current, target);
  }

  /** Whether an incarnation had been replaced by another one at a Unix time in milliseconds. */
  wasReplacedBefore(target: FleetTarget, atMilliseconds: number): boolean {
    const current = this.get(target.id);
    if (!current) return false;
    const replacedAt = isSameIncarnation(current, target)
      ? this.#findLaterStart(current)
      : current.bornMilliseconds;
    return replacedAt !== undefined && replacedAt < atMilliseconds;
  }

  /** Returns the target of a dispatch as leaving if it has announced that since. */
  withAnnouncedState(target: FleetTarget): FleetTarget {
    const isLeaving =
      this.#targets.get(target.id)?.state === 'leaving' ||
      this.#departures.get(target.id)?.isAnnounced === true;
    return isLeaving ? { ...target, state: 'leaving' } : target;
  }

  get(id: string): FleetTarget | undefined {
    this.#expireLapsed();
    return this.#targets.get(id);
  }

  /** Returns when a later target started at the address of this one; undefined if none did. */
  #findLaterStart({ address, bornMilliseconds = Infinity }: FleetTarget): number | undefined {
    const latest = this.#latestStartsByAddress.get(address) ?? -Infinity;
    return latest > bornMilliseconds ? latest : undefined;
  }

  /** The latest announced start for each address, as Unix time in milliseconds. */
  get #latestStartsByAddress(): ReadonlyMap<string, number> {
    if (this.#cachedLatestStarts) return this.#cachedLatestStarts;
    const starts = new Map<string, number>();
    this.#targets.forEach(({ address, bornMilliseconds }) => {
      if (bornMilliseconds === undefined) return;
      starts.set(address, Math.max(bornMilliseconds, starts.get(address) ?? 0));
    });
    this.#cachedLatestStarts = starts;
    return starts;
  }

  /** Discards what is derived from the targets, after they have changed. */
  #invalidateCaches(): void {
    this.#servingByService.clear();
    this.#cachedLatestStarts = undefined;
  }

  #expireLapsed(): void {
    if (this.#lapsed.size === 0 && this.#refused.size === 0) return;
    const now = performance.now();
    const expired = [...this.#refused].filter(([, until]) => now >= until);
    expired.forEach(([id]) => this.#refused.delete(id));
    if (expired.length > 0) this.#invalidateCaches();
    [...this.#lapsed].filter(([, due]) => now >= due).forEach(([id]) => this.#removeNow(id));
  }

  #removeNow(id: string): void {
    this.#lapsed.delete(id);
    this.#refused.delete(id);
    this.#recordDeparture(id, false);
    // Without a start time, a later announcement can't be distinguished from another incarnation.
    if (this.#leaving.get(id)?.bornMilliseconds === undefined) this.#leaving.delete(id);
    this.#targets.delete(id);
    this.#invalidateCaches();
  }

  /** Returns an announcement as leaving if this incarnation reported earlier that it leaves. */
  #applyLeavingState(announced: FleetTarget): FleetTarget {
    const leaving = this.#leaving.get(announced.id);
    if (!leaving) return announced;
    if (isSameIncarnation(leaving, announced)) return { ...announced, state: 'leaving' };
    this.#leaving.delete(announced.id);
    return announced;
  }

  #recordLeavingIncarnation(target: FleetTarget): void {
    this.#leaving.delete(target.id);
    this.#leaving.set(target.id, target);
    if (this.#leaving.size <= MAXIMUM_LEAVING_INCARNATIONS) return;
    const [oldest] = this.#leaving.keys();
    if (oldest !== undefined) this.#leaving.delete(oldest);
  }

  /** Records that a target that served until now has stopped accepting new requests. */
  #recordDeparture(id: string, isAnnounced: boolean): void {
    if (this.#targets.get(id)?.state !== 'serving') return;
    const now = performance.now();
    const isExpired = ([, { atMilliseconds }]: readonly [string, Departure]): boolean =>
      now - atMilliseconds >= DEPARTURE_RETENTION_MILLISECONDS;
    [...this.#departures]
      .filter(isExpired)
      .forEach(([departedId]) => this.#departures.delete(departedId));
    this.#departures.set(id, { atMilliseconds: now, isAnnounced });
  }
}

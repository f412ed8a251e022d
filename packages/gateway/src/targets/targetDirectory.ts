import type { FleetTarget } from './fleetTarget';

/**
 * A leaving target serves for two seconds after the store has its announcement, with or without
 * it; the announcement's way here and the request's way there take up to one.
 */
const LEAVING_RETRY_MILLISECONDS = 1_000;

/**
 * A departure is known for longer than a leaving target serves, so that its end is not taken for a
 * crash, and than requests may be repeated after it.
 */
const DEPARTURE_RETENTION_MILLISECONDS = 10_000;

/** Starts of targets that are remembered as leaving; the oldest are forgotten beyond this. */
const MAXIMUM_LEAVING_INCARNATIONS = 1_000;

const isSameIncarnation = (one: FleetTarget, other: FleetTarget): boolean =>
  one.address === other.address && one.bornMilliseconds === other.bornMilliseconds;

/** How announcements show that a target has ended without having said that it leaves. */
export type AnnouncementEvidence = 'started-again' | 'address-taken' | 'lapsed';

/** When a target stopped to take new requests, and whether it said so itself. */
interface Departure {
  readonly atMilliseconds: number;
  readonly isAnnounced: boolean;
}

/**
 * Targets that may get new work. Announcements that lapsed while the store was away come back
 * shortly after its return, so a removal seen then is applied only after a grace period.
 */
export class TargetDirectory {
  readonly #targets = new Map<string, FleetTarget>();

  /** Targets whose announcement lapsed during an outage, by the time at which they are dropped. */
  readonly #lapsed = new Map<string, number>();

  /** Targets that said at a dispatch that they are gone, until they announce themselves again. */
  readonly #refused = new Set<string>();

  /** Targets that have stopped to take new requests. */
  readonly #departures = new Map<string, Departure>();

  /** Starts that said in an answer that they leave, by the id of their target. */
  readonly #leavingIncarnations = new Map<string, FleetTarget>();

  #graceUntilMilliseconds = 0;

  #servingByService = new Map<string, readonly FleetTarget[]>();

  #cachedLatestStarts: ReadonlyMap<string, number> | undefined;

  /** Adds or changes a target. */
  put(announced: FleetTarget): void {
    const target = this.#applyLeavingState(announced);
    this.#lapsed.delete(target.id);
    this.#refused.delete(target.id);
    if (target.state === 'leaving') this.#recordDeparture(target.id, true);
    else this.#departures.delete(target.id);
    this.#targets.set(target.id, target);
    this.#invalidateCaches();
  }

  /** Removes a target, at once or, shortly after an outage of the store, after the grace period. */
  remove(id: string): void {
    if (performance.now() < this.#graceUntilMilliseconds && this.#targets.has(id)) {
      this.#lapsed.set(id, this.#graceUntilMilliseconds);
      return;
    }
    this.#removeNow(id);
  }

  /** Replaces the whole list, as after a read of the store. */
  replaceAll(targets: readonly FleetTarget[]): void {
    const listed = new Set(targets.map(({ id }) => id));
    [...this.#targets.keys()].filter((id) => !listed.has(id)).forEach((id) => this.remove(id));
    targets.forEach((target) => this.put(target));
  }

  /** Keeps targets whose announcement is missing for the given time from now on. */
  startGracePeriod(milliseconds: number): void {
    this.#graceUntilMilliseconds = performance.now() + milliseconds;
  }

  /** Notes that a target's address answered as another one, or refused a connection. */
  markRefused({ id, address }: FleetTarget): void {
    if (this.#targets.get(id)?.address !== address) return;
    this.#refused.add(id);
    this.#invalidateCaches();
  }

  /**
   * Notes that a target said in an answer that it leaves, which holds for this start of it, whatever
   * the store says later. Returns whether that is news.
   */
  markLeaving(target: FleetTarget): boolean {
    const current = this.#targets.get(target.id);
    if (current && !isSameIncarnation(current, target)) return false;
    this.#recordLeavingIncarnation(target);
    if (current?.state !== 'serving') return false;
    this.put(current);
    return true;
  }

  /** Returns the targets of a service that may get new work. */
  serving(service: string): readonly FleetTarget[] {
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

  /** Whether a target may get a request that it has had before, as it does while it leaves. */
  mayRepeat(id: string): boolean {
    this.#expireLapsed();
    if (this.#targets.get(id)?.state === 'serving') return true;
    const departure = this.#departures.get(id);
    if (!departure) return false;
    return performance.now() - departure.atMilliseconds < LEAVING_RETRY_MILLISECONDS;
  }

  /**
   * Whether this start of a target leaves as planned. One that withdraws its announcement serves on
   * for a while, unless it has been silent for as long as an announcement takes to lapse.
   */
  isPlannedDeparture(target: FleetTarget, isUnresponsive: boolean): boolean {
    const current = this.get(target.id);
    if (current) return isSameIncarnation(current, target) && current.state === 'leaving';
    return !isUnresponsive || this.#departures.get(target.id)?.isAnnounced === true;
  }

  /**
   * Returns how the announcements show that a start of a target has ended; undefined where they
   * don't. Some targets withdraw theirs and serve on, so that a missing one says this only of a
   * target that fell silent.
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

  /** Whether a start of a target was over at a Unix time in milliseconds, as another had followed. */
  wasReplacedBefore(target: FleetTarget, atMilliseconds: number): boolean {
    const current = this.get(target.id);
    if (!current) return false;
    const replacedAt = isSameIncarnation(current, target)
      ? this.#findLaterStart(current)
      : current.bornMilliseconds;
    return replacedAt !== undefined && replacedAt < atMilliseconds;
  }

  /** Returns a target of a dispatch as leaving if it has announced that since. */
  asAnnounced(target: FleetTarget): FleetTarget {
    const isLeaving =
      this.#targets.get(target.id)?.state === 'leaving' ||
      this.#departures.get(target.id)?.isAnnounced === true;
    return isLeaving ? { ...target, state: 'leaving' } : target;
  }

  get(id: string): FleetTarget | undefined {
    this.#expireLapsed();
    return this.#targets.get(id);
  }

  /** Returns when another target started at the address of one; undefined where none did later. */
  #findLaterStart({ address, bornMilliseconds = Infinity }: FleetTarget): number | undefined {
    const latest = this.#latestStartsByAddress.get(address) ?? -Infinity;
    return latest > bornMilliseconds ? latest : undefined;
  }

  /** The latest start that was announced for each address, as Unix time in milliseconds. */
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

  /** Drops what was derived from the targets, as they have changed. */
  #invalidateCaches(): void {
    this.#servingByService.clear();
    this.#cachedLatestStarts = undefined;
  }

  #expireLapsed(): void {
    if (this.#lapsed.size === 0) return;
    const now = performance.now();
    [...this.#lapsed].filter(([, due]) => now >= due).forEach(([id]) => this.#removeNow(id));
  }

  #removeNow(id: string): void {
    this.#lapsed.delete(id);
    this.#refused.delete(id);
    this.#recordDeparture(id, false);
    // Without a time of start, what is announced from now on can't be told from another start.
    if (this.#leavingIncarnations.get(id)?.bornMilliseconds === undefined) {
      this.#leavingIncarnations.delete(id);
    }
    this.#targets.delete(id);
    this.#invalidateCaches();
  }

  /** Returns an announcement as of a leaving target where this start of it has said so. */
  #applyLeavingState(announced: FleetTarget): FleetTarget {
    const leaving = this.#leavingIncarnations.get(announced.id);
    if (!leaving) return announced;
    if (isSameIncarnation(leaving, announced)) return { ...announced, state: 'leaving' };
    this.#leavingIncarnations.delete(announced.id);
    return announced;
  }

  #recordLeavingIncarnation(target: FleetTarget): void {
    this.#leavingIncarnations.delete(target.id);
    this.#leavingIncarnations.set(target.id, target);
    if (this.#leavingIncarnations.size <= MAXIMUM_LEAVING_INCARNATIONS) return;
    const [oldest] = this.#leavingIncarnations.keys();
    if (oldest !== undefined) this.#leavingIncarnations.delete(oldest);
  }

  /** Notes that a target that served until now has stopped to take new requests. */
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

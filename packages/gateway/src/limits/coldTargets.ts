import type { ColdStart, TargetService } from '../configuration/fleetConfiguration';
import type { FleetTarget } from '../targets/fleetTarget';
import { getIncarnationKey } from '../targets/getIncarnationKey';
import { RecentKeys } from '../util/recentKeys';

/** Incarnations that are remembered as known; more than a fleet has within an outage of the store. */
const MAXIMUM_INCARNATIONS = 20_000;

/**
 * A response of the store that arrives this long after the report of a peer holds what the peer read,
 * so it replaces the report.
 */
const REPORT_CONFIRMATION_MILLISECONDS = 500;

/** A target that refused a connection is tried again after this time, and may have just started. */
const RESTART_MILLISECONDS = 2_000;

/** A target that is cold for longer by less than this is not told again. */
const NEWS_MILLISECONDS = 500;

/** How an instance learned that a target is cold. */
export type ColdCause = 'announced' | 'started' | 'listed' | 'refused' | 'peer';

/** A target that sustains only a low rate for some time. */
export interface ColdTarget {
  /** By `performance.now()`. */
  readonly untilMilliseconds: number;
  readonly requestsPerSecond: number;
}

/** A target that has become cold, or will be for longer than it was known. */
export interface ColdChange {
  readonly targetId: string;
  readonly cold: ColdTarget;
  readonly cause: ColdCause;
}

/** What the announcements of a target say about its start. */
interface ColdRecord {
  readonly target: FleetTarget;
  /** Revision of its announcement; a repeated listing of it says nothing new. */
  readonly revision: number;
  readonly announcedUntilMilliseconds: number;
  /** By `performance.now()`; -Infinity if it started long ago or told how long it is cold. */
  readonly startedAtMilliseconds: number;
  readonly cause: ColdCause;
}

interface ColdReport extends ColdTarget {
  readonly cause: ColdCause;
  readonly reportedAtMilliseconds: number;
}

/**
 * Targets that are cold, by id: a restarted target may reuse its id, and instances that don't know
 * the restart yet must keep its rate as well. The time counts from the reading of an announcement
 * and is never shortened. A target that announces no time is cold from its start on.
 */
export class ColdTargets {
  readonly #records = new Map<string, ColdRecord>();

  readonly #reports = new Map<string, ColdReport>();

  readonly #cold = new Map<string, ColdTarget>();

  readonly #knownIncarnations = new RecentKeys(MAXIMUM_INCARNATIONS);

  #coldStarts: ReadonlyMap<string, ColdStart> = new Map();

  #latestUntilMilliseconds = -Infinity;

  #listener: (change: ColdChange) => void = () => undefined;

  /** Sets the listener that is called when a target is cold, or cold for longer. */
  onChange(listener: (change: ColdChange) => void): void {
    this.#listener = listener;
  }

  /** Applies the services of a configuration. */
  configure(services: readonly TargetService[]): void {
    this.#coldStarts = new Map(
      services.flatMap(({ name, coldStart }) => (coldStart ? [[name, coldStart] as const] : [])),
    );
    this.#records.forEach((_record, id) => this.#update(id));
  }

  /** Whether any target is cold. */
  get isAny(): boolean {
    return performance.now() < this.#latestUntilMilliseconds;
  }

  /** Returns the state of a target; undefined if it is not cold. */
  get(targetId: string): ColdTarget | undefined {
    if (!this.isAny) return undefined;
    const cold = this.#cold.get(targetId);
    return cold && performance.now() < cold.untilMilliseconds ? cold : undefined;
  }

  /** Targets that are cold, by id. */
  get all(): ReadonlyMap<string, ColdTarget> {
    const now = performance.now();
    return new Map([...this.#cold].filter(([, { untilMilliseconds }]) => now < untilMilliseconds));
  }

  /**
   * Reads an announcement.
   *
   * @param isFirstListing Whether this instance has just started, so that an unknown target need not
   *   have.
   */
  observe(target: FleetTarget, revision: number, isFirstListing: boolean): void {
    const known = this.#records.get(target.id);
    const key = getIncarnationKey(target);
    const isSame = known !== undefined && getIncarnationKey(known.target) === key;
    if (isSame && known.revision === revision) return;
    const now = performance.now();
    const remaining = target.coldRemainingMilliseconds;
    const isKnown = isSame || this.#knownIncarnations.has(key);
    const isAnnounced = remaining !== undefined;
    const startedAtMilliseconds =
      isKnown || isAnnounced ? -Infinity : ColdTargets.#toStart(target, isFirstListing);
    this.#records.set(target.id, {
      target,
      revision,
      announcedUntilMilliseconds: Math.max(
        isAnnounced ? now + remaining : -Infinity,
        isSame ? known.announcedUntilMilliseconds : -Infinity,
      ),
      startedAtMilliseconds: isSame ? known.startedAtMilliseconds : startedAtMilliseconds,
      cause: ColdTargets.#toCause(isAnnounced, isFirstListing),
    });
    // Without a start time, a restart at the same address looks like the earlier incarnation.
    if (target.bornMilliseconds !== undefined) this.#knownIncarnations.add(key);
    this.#update(target.id);
  }

  /** Forgets the announcement of a target that is gone; what is known about its rate stays. */
  remove(targetId: string): void {
    this.#records.delete(targetId);
  }

  /** Forgets targets that are no longer known. */
  retain(isKnown: (targetId: string) => boolean): void {
    [this.#records, this.#reports].forEach((map) =>
      [...map.keys()].filter((id) => !isKnown(id)).forEach((id) => map.delete(id)),
    );
  }

  /** Applies what another instance has read; it counts until the store confirms what is read here. */
  report(targetId: string, cold: ColdTarget): void {
    this.#addReport(targetId, cold, 'peer');
  }

  /**
   * Assumes that a target which refuses connections is starting again: while the store is away, its
   * announcement can't tell. This counts until the store responds, as the report of a peer does.
   */
  suspectRestart({ id, service }: FleetTarget): void {
    const coldStart = this.#coldStarts.get(service);
    if (!coldStart || coldStart.milliseconds === 0) return;
    const untilMilliseconds = performance.now() + RESTART_MILLISECONDS + coldStart.milliseconds;
    const { requestsPerSecond } = coldStart;
    this.#addReport(id, { untilMilliseconds, requestsPerSecond }, 'refused');
  }

  /** Drops what other instances have reported earlier, once the store has responded. */
  confirm(): void {
    if (this.#reports.size === 0) return;
    const before = performance.now() - REPORT_CONFIRMATION_MILLISECONDS;
    [...this.#reports]
      .filter(([, { reportedAtMilliseconds }]) => reportedAtMilliseconds <= before)
      .forEach(([id]) => {
        this.#reports.delete(id);
        const read = this.#read(id);
        if (read) this.#cold.set(id, read);
        else this.#cold.delete(id);
      });
  }

  #addReport(targetId: string, cold: ColdTarget, cause: ColdCause): void {
    if (performance.now() >= cold.untilMilliseconds) return;
    const known = this.#reports.get(targetId);
    if (known && known.untilMilliseconds >= cold.untilMilliseconds) return;
    this.#reports.set(targetId, { ...cold, cause, reportedAtMilliseconds: performance.now() });
    this.#update(targetId);
  }

  /** Computes whether a target is cold from its announcement and the reports of others. */
  #update(id: string): void {
    const now = performance.now();
    const read = this.#read(id);
    const report = this.#reports.get(id);
    const isReported =
      report !== undefined && report.untilMilliseconds > (read?.untilMilliseconds ?? -Infinity);
    const latest = isReported ? report : read;
    if (!latest || latest.untilMilliseconds <= now) return;
    const current = this.#cold.get(id);
    if (current && current.untilMilliseconds >= latest.untilMilliseconds) return;
    const { untilMilliseconds } = latest;
    // A reported rate already has a margin, so the configured one is used where it is known.
    const { requestsPerSecond } = read ?? latest;
    const cold = { untilMilliseconds, requestsPerSecond };
    this.#removeEnded(now);
    this.#cold.set(id, cold);
    this.#latestUntilMilliseconds = Math.max(this.#latestUntilMilliseconds, untilMilliseconds);
    const isNews = !current || untilMilliseconds > current.untilMilliseconds + NEWS_MILLISECONDS;
    if (!isNews) return;
    const cause = isReported ? report.cause : (this.#records.get(id)?.cause ?? 'peer');
    this.#listener({ targetId: id, cold, cause });
  }

  /** Returns until when a target is cold by its own announcement. */
  #read(id: string): ColdTarget | undefined {
    const record = this.#records.get(id);
    const coldStart = record && this.#coldStarts.get(record.target.service);
    if (!coldStart) return undefined;
    const { announcedUntilMilliseconds, startedAtMilliseconds } = record;
    return {
      untilMilliseconds: Math.max(
        announcedUntilMilliseconds,
        startedAtMilliseconds + coldStart.milliseconds,
      ),
      requestsPerSecond: coldStart.requestsPerSecond,
    };
  }

  #removeEnded(now: number): void {
    [...this.#cold]
      .filter(([, { untilMilliseconds }]) => untilMilliseconds <= now)
      .forEach(([id]) => this.#cold.delete(id));
  }

  static #toCause(isAnnounced: boolean, isFirstListing: boolean): ColdCause {
    if (isFirstListing) return 'listed';
    return isAnnounced ? 'announced' : 'started';
  }

  /** Returns when a target that this instance did not know has started, by `performance.now()`. */
  static #toStart({ bornMilliseconds }: FleetTarget, isFirstListing: boolean): number {
    const now = performance.now();
    if (!isFirstListing) return now;
    if (bornMilliseconds === undefined) return -Infinity;
    return now - Math.max(0, Date.now() - bornMilliseconds);
  }
}

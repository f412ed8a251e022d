import type { TargetLoadView } from '@limpetnotch/scheduling';
import type { ReportedLoad } from '../calls/wireCodec';
import type { TargetActivity } from './targetActivity';

/** Reports older than this are ignored, since a queue drains in less time. */
const REPORT_LIFETIME_MILLISECONDS = 400;

interface TargetLoad {
  ownInFlight: number;
  /** Requests of other instances at the target, according to its last report. */
  othersInFlight: number;
  reportedAtMilliseconds: number;
  durationPercent: number | undefined;
  lastByteAtMilliseconds: number;
  /** Since when this instance has had at least one request in flight. */
  busySinceMilliseconds: number;
}

/** Load of each target: what this instance has in flight there and what the target last reported. */
export class TargetLoads {
  readonly #loads = new Map<string, TargetLoad>();

  #lastByteAtMilliseconds = -Infinity;

  /** Records that a request is sent to a target. */
  recordStart(targetId: string): void {
    const load = this.#getOrCreate(targetId);
    if (load.ownInFlight === 0) load.busySinceMilliseconds = performance.now();
    load.ownInFlight += 1;
  }

  /** Records that a request at a target has ended. */
  recordEnd(targetId: string): void {
    const load = this.#getOrCreate(targetId);
    load.ownInFlight = Math.max(0, load.ownInFlight - 1);
  }

  /** Records the load that a response reported; it still includes the request of that response. */
  recordReport(targetId: string, { running, waiting, durationPercent }: ReportedLoad): void {
    const load = this.#getOrCreate(targetId);
    load.othersInFlight = Math.max(0, running + waiting - load.ownInFlight);
    load.reportedAtMilliseconds = performance.now();
    load.durationPercent = durationPercent;
  }

  /** Records that bytes arrived from a target. */
  recordReceivedBytes(targetId: string): void {
    const now = performance.now();
    this.#getOrCreate(targetId).lastByteAtMilliseconds = now;
    this.#lastByteAtMilliseconds = now;
  }

  /** Milliseconds since the last byte from any target; Infinity if there was none. */
  get millisecondsSinceAnyByte(): number {
    return performance.now() - this.#lastByteAtMilliseconds;
  }

  /** Returns the milliseconds since the last byte from a target; Infinity if there was none. */
  getMillisecondsSinceLastByte(targetId: string): number {
    return performance.now() - (this.#loads.get(targetId)?.lastByteAtMilliseconds ?? -Infinity);
  }

  /** Targets at which this instance has requests under way. */
  get busyTargets(): readonly TargetActivity[] {
    const now = performance.now();
    return [...this.#loads].flatMap(([targetId, load]) =>
      load.ownInFlight === 0
        ? []
        : {
            targetId,
            busyMilliseconds: now - load.busySinceMilliseconds,
            silentMilliseconds: now - load.lastByteAtMilliseconds,
          },
    );
  }

  /** Returns the milliseconds since the last byte from a counted target; Infinity if none came. */
  getMillisecondsSinceByteFrom(isCounted: (targetId: string) => boolean): number {
    let latest = -Infinity;
    this.#loads.forEach(({ lastByteAtMilliseconds }, targetId) => {
      if (lastByteAtMilliseconds > latest && isCounted(targetId)) latest = lastByteAtMilliseconds;
    });
    return performance.now() - latest;
  }

  /** Returns what is known of a target's load, without an interpretation of old reports. */
  getView(targetId: string): TargetLoadView {
    const load = this.#loads.get(targetId);
    return {
      own: load?.ownInFlight ?? 0,
      others: load?.othersInFlight ?? 0,
      reportAgeMilliseconds: performance.now() - (load?.reportedAtMilliseconds ?? -Infinity),
      durationPercent: load?.durationPercent,
    };
  }

  /** Estimates the number of requests that all instances have in flight at a target. */
  estimateInFlight(targetId: string): number {
    const load = this.#loads.get(targetId);
    if (!load) return 0;
    const age = performance.now() - load.reportedAtMilliseconds;
    const freshness = Math.max(0, 1 - age / REPORT_LIFETIME_MILLISECONDS);
    return load.ownInFlight + load.othersInFlight * freshness;
  }

  /**
   * Counts the requests that all instances have in flight at a target, by its last report if that is
   * recent: higher than the estimate, for a limit rather than a comparison.
   */
  countInFlight(targetId: string): number {
    const load = this.#loads.get(targetId);
    if (!load) return 0;
    const age = performance.now() - load.reportedAtMilliseconds;
    return load.ownInFlight + (age < REPORT_LIFETIME_MILLISECONDS ? load.othersInFlight : 0);
  }

  /** Returns the share of this instance in the requests in flight at targets; undefined if none. */
  computeOwnShare(targetIds: readonly string[]): number | undefined {
    const own = targetIds.reduce((sum, id) => sum + (this.#loads.get(id)?.ownInFlight ?? 0), 0);
    const all = targetIds.reduce((sum, id) => sum + this.countInFlight(id), 0);
    return all === 0 ? undefined : own / all;
  }

  /** Removes targets that are no longer registered. */
  retain(isRegistered: (targetId: string) => boolean): void {
    [...this.#loads.keys()]
      .filter((id) => !isRegistered(id))
      .forEach((id) => this.#loads.delete(id));
  }

  #getOrCreate(targetId: string): TargetLoad {
    const existing = this.#loads.get(targetId);
    if (existing) return existing;
    const load: TargetLoad = {
      ownInFlight: 0,
      othersInFlight: 0,
      reportedAtMilliseconds: -Infinity,
      durationPercent: undefined,
      lastByteAtMilliseconds: -Infinity,
      busySinceMilliseconds: Infinity,
    };
    this.#loads.set(targetId, load);
    return load;
  }
}

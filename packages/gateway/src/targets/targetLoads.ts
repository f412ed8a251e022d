import type { ReportedLoad } from '../calls/wireCodec';

/** Reports older than this say nothing of the present; a queue drains in less. */
const REPORT_LIFETIME_MILLISECONDS = 400;

interface TargetLoad {
  ownInFlight: number;
  /** Requests of other instances there at the last report. */
  othersInFlight: number;
  reportedAtMilliseconds: number;
  lastByteAtMilliseconds: number;
}

/** Work at each target: what this instance has sent there, and what the target last reported. */
export class TargetLoads {
  readonly #loads = new Map<string, TargetLoad>();

  /** Notes a request that goes to a target. */
  begin(targetId: string): void {
    this.#getOrCreate(targetId).ownInFlight += 1;
  }

  /** Notes the end of a request at a target. */
  end(targetId: string): void {
    const load = this.#getOrCreate(targetId);
    load.ownInFlight = Math.max(0, load.ownInFlight - 1);
  }

  /** Takes the load that came with an answer; the answer's own request is still counted in it. */
  report(targetId: string, { running, waiting }: ReportedLoad): void {
    const load = this.#getOrCreate(targetId);
    load.othersInFlight = Math.max(0, running + waiting - load.ownInFlight);
    load.reportedAtMilliseconds = performance.now();
  }

  /** Notes that a byte came from a target. */
  heard(targetId: string): void {
    this.#getOrCreate(targetId).lastByteAtMilliseconds = performance.now();
  }

  /** Time since the last byte from a target, in milliseconds. */
  silenceMilliseconds(targetId: string): number {
    return performance.now() - (this.#loads.get(targetId)?.lastByteAtMilliseconds ?? -Infinity);
  }

  /** Estimates the requests of all instances at a target. */
  estimate(targetId: string): number {
    const load = this.#loads.get(targetId);
    if (!load) return 0;
    const age = performance.now() - load.reportedAtMilliseconds;
    const freshness = Math.max(0, 1 - age / REPORT_LIFETIME_MILLISECONDS);
    return load.ownInFlight + load.othersInFlight * freshness;
  }

  /** Forgets targets that are gone. */
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
      lastByteAtMilliseconds: -Infinity,
    };
    this.#loads.set(targetId, load);
    return load;
  }
}

import { getIncarnationKey } from '../targets/getIncarnationKey';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetLoads } from '../targets/targetLoads';

/** The broken connections of one crash are detected one after another within this time. */
const SAME_CRASH_MILLISECONDS = 1_000;

interface Workload {
  readonly inFlight: number;
  readonly atMilliseconds: number;
}

/** Number of requests that were in flight at targets when their connections broke. */
export class CrashWorkload {
  readonly #loads: TargetLoads;

  readonly #byIncarnation = new Map<string, Workload>();

  constructor(loads: TargetLoads) {
    this.#loads = loads;
  }

  /**
   * Returns the number of requests in flight when the connection of one of them broke, including
   * that one. The value at the first break of a crash is used for all, because each break removes
   * its request from the target's load.
   */
  getInFlightAtBreak(target: FleetTarget): number {
    const now = performance.now();
    this.#byIncarnation.forEach(({ atMilliseconds }, recordedKey) => {
      if (now - atMilliseconds > SAME_CRASH_MILLISECONDS) this.#byIncarnation.delete(recordedKey);
    });
    const incarnationKey = getIncarnationKey(target);
    const existing = this.#byIncarnation.get(incarnationKey);
    const inFlight = Math.max(this.#loads.estimateInFlight(target.id) + 1, existing?.inFlight ?? 0);
    this.#byIncarnation.set(incarnationKey, {
      inFlight,
      atMilliseconds: existing?.atMilliseconds ?? now,
    });
    return inFlight;
  }
}

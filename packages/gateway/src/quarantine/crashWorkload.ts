import { getIncarnationKey } from '../targets/getIncarnationKey';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetLoads } from '../targets/targetLoads';

/** Breaks of one crash are noticed one after another within this time. */
const SAME_CRASH_MILLISECONDS = 1_000;

interface Workload {
  readonly inFlight: number;
  readonly atMilliseconds: number;
}

/** How many requests were under way at targets when their connections broke. */
export class CrashWorkload {
  readonly #loads: TargetLoads;

  readonly #byIncarnation = new Map<string, Workload>();

  constructor(loads: TargetLoads) {
    this.#loads = loads;
  }

  /**
   * Returns the requests under way at the break of one of them, that one included. The first break
   * of a crash tells it for all, as each takes its request off the target's load.
   */
  getInFlightAtBreak(target: FleetTarget): number {
    const now = performance.now();
    this.#byIncarnation.forEach(({ atMilliseconds }, recordedKey) => {
      if (now - atMilliseconds > SAME_CRASH_MILLISECONDS) this.#byIncarnation.delete(recordedKey);
    });
    const incarnationKey = getIncarnationKey(target);
    const existing = this.#byIncarnation.get(incarnationKey);
    const inFlight = Math.max(this.#loads.estimate(target.id) + 1, existing?.inFlight ?? 0);
    this.#byIncarnation.set(incarnationKey, {
      inFlight,
      atMilliseconds: existing?.atMilliseconds ?? now,
    });
    return inFlight;
  }
}

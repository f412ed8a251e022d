import { targetLife } from '../targets/targetLife';
import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetLoads } from '../targets/targetLoads';

/** Breaks of one crash are noticed one after another within this time. */
const SAME_CRASH_MILLISECONDS = 1_000;

interface Workload {
  readonly underWay: number;
  readonly atMilliseconds: number;
}

/** How many requests were under way at targets when their connections broke. */
export class CrashWorkload {
  readonly #loads: TargetLoads;

  readonly #byLife = new Map<string, Workload>();

  constructor(loads: TargetLoads) {
    this.#loads = loads;
  }

  /**
   * Returns the requests under way at the break of one of them, that one included. The first break
   * of a crash tells it for all, as each takes its request off the target's load.
   */
  atBreak(target: FleetTarget): number {
    const now = performance.now();
    this.#byLife.forEach(({ atMilliseconds }, life) => {
      if (now - atMilliseconds > SAME_CRASH_MILLISECONDS) this.#byLife.delete(life);
    });
    const life = targetLife(target);
    const known = this.#byLife.get(life);
    const underWay = Math.max(this.#loads.estimate(target.id) + 1, known?.underWay ?? 0);
    this.#byLife.set(life, { underWay, atMilliseconds: known?.atMilliseconds ?? now });
    return underWay;
  }
}

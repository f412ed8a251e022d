import { SeededRandom } from '@limpetnotch/stand-ins';
import type { PlannedFault } from './soakFault';

const EARLIEST_MILLISECONDS = 1_000;
const LONGEST_PAUSE_MILLISECONDS = 4_000;
const SHORTEST_CUT_MILLISECONDS = 400;
const LONGEST_CUT_MILLISECONDS = 5_000;
/** All links are open at the end, so that the last requests are answered. */
const CUT_FREE_END_MILLISECONDS = 2_000;

/** Draws cuts of some instances from all targets; a separate seed leaves other faults unchanged. */
export const drawInstanceCuts = (
  seed: number,
  milliseconds: number,
  instances: number,
): readonly PlannedFault[] => {
  const random = new SeededRandom(-(seed * 1_000) - 7);
  const cuts: PlannedFault[] = [];
  let atMilliseconds = random.integer(EARLIEST_MILLISECONDS, LONGEST_PAUSE_MILLISECONDS);
  for (;;) {
    const forMilliseconds = random.integer(SHORTEST_CUT_MILLISECONDS, LONGEST_CUT_MILLISECONDS);
    const endMilliseconds = atMilliseconds + forMilliseconds;
    if (endMilliseconds > milliseconds - CUT_FREE_END_MILLISECONDS) return cuts;
    const first = random.integer(0, instances - 1);
    const count = random.integer(1, Math.max(1, instances - 1));
    const cut = Array.from({ length: count }, (_, index) => (first + index) % instances);
    const mode = random.pick(['drop', 'refuse', 'reset'] as const);
    cuts.push({
      atMilliseconds,
      fault: { kind: 'instance-cut', instances: cut, mode, forMilliseconds },
    });
    atMilliseconds = endMilliseconds + random.integer(0, LONGEST_PAUSE_MILLISECONDS);
  }
};

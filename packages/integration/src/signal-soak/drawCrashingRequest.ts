import { SeededRandom } from '@limpetnotch/stand-ins';
import type { PlannedFault } from './soakFault';
import { SOAK_ROUTES } from './soakRoutes';

const EARLIEST_START_MILLISECONDS = 1_500;
const LATEST_START_RATIO = 0.4;
/** Long enough for repeats beyond the platform's stable window. */
const SHORTEST_DURATION_MILLISECONDS = 6_000;
const LONGEST_DURATION_MILLISECONDS = 12_000;

/** Draws a request that crashes its targets; a separate seed leaves the other faults unchanged. */
export const drawCrashingRequest = (seed: number, milliseconds: number): PlannedFault => {
  const random = new SeededRandom(-seed);
  const latest = Math.max(
    EARLIEST_START_MILLISECONDS,
    Math.floor(milliseconds * LATEST_START_RATIO),
  );
  const forMilliseconds = random.integer(
    SHORTEST_DURATION_MILLISECONDS,
    LONGEST_DURATION_MILLISECONDS,
  );
  return {
    atMilliseconds: random.integer(EARLIEST_START_MILLISECONDS, latest),
    fault: {
      kind: 'crashing-request',
      route: random.pick(SOAK_ROUTES).name,
      forMilliseconds: Math.min(forMilliseconds, milliseconds),
    },
  };
};

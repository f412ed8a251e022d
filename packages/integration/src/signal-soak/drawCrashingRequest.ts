import { SeededRandom } from '@limpetnotch/stand-ins';
import type { PlannedFault } from './soakFault';
import { SOAK_ROUTES } from './soakRoutes';

const FIRST_MILLISECONDS = 1_500;
const LATEST_PART = 0.4;
/** Long enough for repeats beyond the window of the users' rule. */
const SHORTEST_MILLISECONDS = 6_000;
const LONGEST_MILLISECONDS = 12_000;

/** Draws a request that crashes its targets; from a seed of its own, so that other faults stay. */
export const drawCrashingRequest = (seed: number, milliseconds: number): PlannedFault => {
  const random = new SeededRandom(-seed);
  const latest = Math.max(FIRST_MILLISECONDS, Math.floor(milliseconds * LATEST_PART));
  const forMilliseconds = random.integer(SHORTEST_MILLISECONDS, LONGEST_MILLISECONDS);
  return {
    atMilliseconds: random.integer(FIRST_MILLISECONDS, latest),
    fault: {
      kind: 'crashing-request',
      route: random.pick(SOAK_ROUTES).name,
      forMilliseconds: Math.min(forMilliseconds, milliseconds),
    },
  };
};

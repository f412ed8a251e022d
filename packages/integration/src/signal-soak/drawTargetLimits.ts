import { SeededRandom } from '@limpetnotch/stand-ins';
import type { PlannedFault } from './soakFault';

const EARLIEST_START_MILLISECONDS = 1_000;
const LATEST_START_MILLISECONDS = 3_000;
/** Longer than the platform's stable window, after which a limit binds. */
const SHORTEST_DURATION_MILLISECONDS = 5_000;
const LOWEST_PER_SECOND = 1;
const HIGHEST_PER_SECOND = 12;
const FALL_PROBABILITY = 0.5;

/** Draws limits of some targets, half of which fall; a separate seed leaves other faults unchanged. */
export const drawTargetLimits = (
  seed: number,
  milliseconds: number,
  targets: number,
): readonly PlannedFault[] => {
  const random = new SeededRandom(-seed * 2 - 1);
  const first = random.integer(0, targets - 1);
  return Array.from({ length: random.integer(1, targets) }, (_value, index) => {
    const target = (first + index) % targets;
    const requestsPerSecond = random.integer(LOWEST_PER_SECOND, HIGHEST_PER_SECOND);
    const start = random.integer(EARLIEST_START_MILLISECONDS, LATEST_START_MILLISECONDS);
    const end = random.integer(
      start + SHORTEST_DURATION_MILLISECONDS,
      Math.max(milliseconds, start + SHORTEST_DURATION_MILLISECONDS + 1),
    );
    const limitAt = (atMilliseconds: number, value: number | undefined): PlannedFault => ({
      atMilliseconds,
      fault: { kind: 'target-limit', target, requestsPerSecond: value },
    });
    return [
      limitAt(start, requestsPerSecond),
      ...(random.chance(FALL_PROBABILITY) ? [limitAt(start + 1_500, requestsPerSecond / 4)] : []),
      limitAt(end, undefined),
    ];
  })
    .flat()
    .filter(({ atMilliseconds }) => atMilliseconds < milliseconds);
};

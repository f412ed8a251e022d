import type { GoalResult, LoadPoint } from './experimentReport';
import type { UserProfile } from './userProfile';

const HIGH_LOAD = 0.9;
const LOW_LOAD = 0.3;

const ROUND_ROBIN_SHARE = 0.6;
const BEST_BASELINE_SHARE = 0.8;
const WORST_OVER_MEAN = 1.25;
const PREFILLED_AGAIN_SHARE = 0.5;
const LOW_LOAD_EXCESS = 1.03;

interface PolicyPoints {
  readonly ours: LoadPoint;
  readonly roundRobin: LoadPoint;
  readonly leastLoaded: LoadPoint;
  readonly baselines: readonly LoadPoint[];
}

const pointsAt = (points: readonly LoadPoint[], load: number): PolicyPoints | undefined => {
  const atLoad = points.filter((point) => point.load === load);
  const ours = atLoad.find(({ policy }) => policy === 'limpetnotch');
  const roundRobin = atLoad.find(({ policy }) => policy === 'round-robin');
  const leastLoaded = atLoad.find(({ policy }) => policy === 'least-loaded');
  if (!ours || !roundRobin || !leastLoaded) return undefined;
  return { ours, roundRobin, leastLoaded, baselines: atLoad.filter((point) => point !== ours) };
};

const goal = (name: string, value: number, bound: number): GoalResult => ({
  name,
  value,
  bound,
  met: value <= bound,
});

const least = (points: readonly LoadPoint[], read: (point: LoadPoint) => number): number =>
  Math.min(...points.map(read));

const p95 = ({ figures }: LoadPoint): number => figures.p95Milliseconds;
const mean = ({ figures }: LoadPoint): number => figures.meanMilliseconds;

const highLoadGoals = (user: UserProfile['name'], points: PolicyPoints): readonly GoalResult[] => {
  const { ours, roundRobin, leastLoaded, baselines } = points;
  const prefilledAgain = goal(
    'tokens prefilled again over least loaded, at 90%',
    ours.figures.prefilledAgainTokens / leastLoaded.figures.prefilledAgainTokens,
    PREFILLED_AGAIN_SHARE,
  );
  switch (user) {
    case 'consortium':
      return [
        goal(
          'program p95 over round robin, at 90%',
          p95(ours) / p95(roundRobin),
          ROUND_ROBIN_SHARE,
        ),
        goal(
          'program p95 over the best baseline, at 90%',
          p95(ours) / least(baselines, p95),
          BEST_BASELINE_SHARE,
        ),
        prefilledAgain,
      ];
    case 'authority':
      return [
        goal(
          "worst-served organisation's slowdown over the mean, at 90%",
          ours.figures.worstSlowdown / ours.figures.meanSlowdown,
          WORST_OVER_MEAN,
        ),
        prefilledAgain,
      ];
  }
};

const lowLoadGoals = ({ ours, baselines }: PolicyPoints): readonly GoalResult[] => [
  goal(
    'program mean over the best baseline, at 30%',
    mean(ours) / least(baselines, mean),
    LOW_LOAD_EXCESS,
  ),
  goal(
    'program p95 over the best baseline, at 30%',
    p95(ours) / least(baselines, p95),
    LOW_LOAD_EXCESS,
  ),
];

/** Compares the runs with the goals, as far as their loads were run. */
export const experimentGoals = (
  user: UserProfile['name'],
  points: readonly LoadPoint[],
): readonly GoalResult[] => {
  const high = pointsAt(points, HIGH_LOAD);
  const low = pointsAt(points, LOW_LOAD);
  return [...(high ? highLoadGoals(user, high) : []), ...(low ? lowLoadGoals(low) : [])];
};

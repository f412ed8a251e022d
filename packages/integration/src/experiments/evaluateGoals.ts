import type { GoalResult, LoadPoint } from './experimentReport';
import type { UserProfile } from './userProfile';

const HIGH_LOAD = 0.9;
const LOW_LOAD = 0.3;

const MAXIMUM_ROUND_ROBIN_RATIO = 0.6;
const MAXIMUM_BEST_BASELINE_RATIO = 0.8;
const MAXIMUM_WORST_TO_MEAN_RATIO = 1.25;
const MAXIMUM_PREFILLED_AGAIN_RATIO = 0.5;
const MAXIMUM_LOW_LOAD_RATIO = 1.03;

interface PolicyPoints {
  readonly ours: LoadPoint;
  readonly roundRobin: LoadPoint;
  readonly leastLoaded: LoadPoint;
  readonly baselines: readonly LoadPoint[];
}

const findPolicyPoints = (points: readonly LoadPoint[], load: number): PolicyPoints | undefined => {
  const atLoad = points.filter((point) => point.load === load);
  const ours = atLoad.find(({ policy }) => policy === 'limpetnotch');
  const roundRobin = atLoad.find(({ policy }) => policy === 'round-robin');
  const leastLoaded = atLoad.find(({ policy }) => policy === 'least-loaded');
  if (!ours || !roundRobin || !leastLoaded) return undefined;
  return { ours, roundRobin, leastLoaded, baselines: atLoad.filter((point) => point !== ours) };
};

const createGoal = (name: string, value: number, bound: number): GoalResult => ({
  name,
  value,
  bound,
  met: value <= bound,
});

const minimumOf = (points: readonly LoadPoint[], read: (point: LoadPoint) => number): number =>
  Math.min(...points.map(read));

const getP95 = ({ figures }: LoadPoint): number => figures.p95Milliseconds;
const getMean = ({ figures }: LoadPoint): number => figures.meanMilliseconds;

const evaluateHighLoadGoals = (
  user: UserProfile['name'],
  points: PolicyPoints,
): readonly GoalResult[] => {
  const { ours, roundRobin, leastLoaded, baselines } = points;
  const prefilledAgain = createGoal(
    'tokens prefilled again over least loaded, at 90%',
    ours.figures.prefilledAgainTokens / leastLoaded.figures.prefilledAgainTokens,
    MAXIMUM_PREFILLED_AGAIN_RATIO,
  );
  switch (user) {
    case 'consortium':
      return [
        createGoal(
          'program p95 over round robin, at 90%',
          getP95(ours) / getP95(roundRobin),
          MAXIMUM_ROUND_ROBIN_RATIO,
        ),
        createGoal(
          'program p95 over the best baseline, at 90%',
          getP95(ours) / minimumOf(baselines, getP95),
          MAXIMUM_BEST_BASELINE_RATIO,
        ),
        prefilledAgain,
      ];
    case 'authority':
      return [
        createGoal(
          "worst-served organisation's slowdown over the mean, at 90%",
          ours.figures.worstSlowdown / ours.figures.meanSlowdown,
          MAXIMUM_WORST_TO_MEAN_RATIO,
        ),
        prefilledAgain,
      ];
  }
};

const evaluateLowLoadGoals = ({ ours, baselines }: PolicyPoints): readonly GoalResult[] => [
  createGoal(
    'program mean over the best baseline, at 30%',
    getMean(ours) / minimumOf(baselines, getMean),
    MAXIMUM_LOW_LOAD_RATIO,
  ),
  createGoal(
    'program p95 over the best baseline, at 30%',
    getP95(ours) / minimumOf(baselines, getP95),
    MAXIMUM_LOW_LOAD_RATIO,
  ),
];

/** Evaluates the goals for those loads that were run. */
export const evaluateGoals = (
  user: UserProfile['name'],
  points: readonly LoadPoint[],
): readonly GoalResult[] => {
  const high = findPolicyPoints(points, HIGH_LOAD);
  const low = findPolicyPoints(points, LOW_LOAD);
  return [
    ...(high ? evaluateHighLoadGoals(user, high) : []),
    ...(low ? evaluateLowLoadGoals(low) : []),
  ];
};

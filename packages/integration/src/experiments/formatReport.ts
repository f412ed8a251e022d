import type { ExperimentReport, GoalResult, LoadPoint } from './experimentReport';

const MILLISECONDS_PER_SECOND = 1_000;
const THOUSAND = 1_000;

const HEADINGS = [
  'load',
  'policy',
  'programs',
  'mean s',
  'p50 s',
  'p95 s',
  'p99 s',
  'again ktok',
  'worst slow',
  'mean slow',
  'worst share',
  'refused',
  'failed',
] as const;

const formatSeconds = (milliseconds: number): string =>
  (milliseconds / MILLISECONDS_PER_SECOND).toFixed(1);

const formatRow = ({ load, policy, figures }: LoadPoint): readonly string[] => [
  load.toFixed(2),
  policy,
  String(figures.programs),
  formatSeconds(figures.meanMilliseconds),
  formatSeconds(figures.p50Milliseconds),
  formatSeconds(figures.p95Milliseconds),
  formatSeconds(figures.p99Milliseconds),
  (figures.prefilledAgainTokens / THOUSAND).toFixed(0),
  figures.worstSlowdown.toFixed(2),
  figures.meanSlowdown.toFixed(2),
  figures.worstServedShare.toFixed(2),
  String(figures.refusedWithinRate),
  String(figures.failedAttempts),
];

const formatGoal = ({ name, value, bound, met }: GoalResult): string =>
  `${met ? 'met   ' : 'MISSED'}  ${value.toFixed(3)} (bound ${bound})  ${name}`;

/** Formats a report as a plain-text table, followed by the goals. */
export const formatReport = ({ points, goals }: ExperimentReport): string => {
  const rows = [HEADINGS, ...points.map(formatRow)];
  const widths = HEADINGS.map((_, column) =>
    Math.max(...rows.map((cells) => cells[column]?.length ?? 0)),
  );
  const lines = rows.map((cells) =>
    cells.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  '),
  );
  return [...lines, '', ...goals.map(formatGoal)].join('\n');
};

import type { ExperimentReport, GoalResult, LoadPoint } from './experimentReport';

const MILLISECONDS = 1_000;
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

const seconds = (milliseconds: number): string => (milliseconds / MILLISECONDS).toFixed(1);

const row = ({ load, policy, figures }: LoadPoint): readonly string[] => [
  load.toFixed(2),
  policy,
  String(figures.programs),
  seconds(figures.meanMilliseconds),
  seconds(figures.p50Milliseconds),
  seconds(figures.p95Milliseconds),
  seconds(figures.p99Milliseconds),
  (figures.prefilledAgainTokens / THOUSAND).toFixed(0),
  figures.worstSlowdown.toFixed(2),
  figures.meanSlowdown.toFixed(2),
  figures.worstServedShare.toFixed(2),
  String(figures.refusedWithinRate),
  String(figures.failedAttempts),
];

const goalLine = ({ name, value, bound, met }: GoalResult): string =>
  `${met ? 'met   ' : 'MISSED'}  ${value.toFixed(3)} (bound ${bound})  ${name}`;

/** Writes a report as a plain text table, with the goals below. */
export const experimentTable = ({ points, goals }: ExperimentReport): string => {
  const rows = [HEADINGS, ...points.map(row)];
  const widths = HEADINGS.map((_, column) =>
    Math.max(...rows.map((cells) => cells[column]?.length ?? 0)),
  );
  const lines = rows.map((cells) =>
    cells.map((cell, column) => cell.padStart(widths[column] ?? 0)).join('  '),
  );
  return [...lines, '', ...goals.map(goalLine)].join('\n');
};

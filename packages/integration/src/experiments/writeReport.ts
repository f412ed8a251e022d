import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import type { ExperimentReport } from './experimentReport';
import { formatReport } from './formatReport';
import type { LatencySelector } from './drawLatencyChart';
import { drawLatencyChart } from './drawLatencyChart';

const CHARTS: readonly { readonly title: string; readonly latency: LatencySelector }[] = [
  { title: 'program latency, mean', latency: ({ figures }) => figures.meanMilliseconds },
  { title: 'program latency, p50', latency: ({ figures }) => figures.p50Milliseconds },
  { title: 'program latency, p95', latency: ({ figures }) => figures.p95Milliseconds },
  { title: 'program latency, p99', latency: ({ figures }) => figures.p99Milliseconds },
];

const formatPage = (report: ExperimentReport): string => {
  const title = `Scheduling, ${report.user}, seed ${report.seed}`;
  const charts = CHARTS.map((chart) => drawLatencyChart({ ...chart, points: report.points }));
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>${title}</title></head><body>`,
    `<h1>${title}</h1>`,
    `<p>Runs of ${report.durationSeconds} seconds of virtual time.</p>`,
    ...charts,
    `<pre>${formatReport(report)}</pre>`,
    '</body></html>',
  ].join('\n');
};

/** Writes a report to a directory as JSON and HTML; resolves to the file paths. */
export const writeReport = async (
  directory: string,
  report: ExperimentReport,
): Promise<readonly string[]> => {
  await mkdir(directory, { recursive: true });
  const base = join(directory, `scheduling-${report.user}-${report.seed}`);
  await writeFile(`${base}.json`, `${JSON.stringify(report, undefined, 2)}\n`);
  await writeFile(`${base}.html`, `${formatPage(report)}\n`);
  return [`${base}.json`, `${base}.html`];
};

import type { LoadPoint } from './experimentReport';
import { POLICIES } from './policies';

const WIDTH = 420;
const HEIGHT = 300;
const MARGIN = 48;
const MILLISECONDS_PER_SECOND = 1_000;
const COLOURS = ['#b04a3f', '#c58b2a', '#3f6fb0', '#2f8a57'];

/** Selects the latency that a chart plots, in milliseconds. */
export type LatencySelector = (point: LoadPoint) => number;

/** Options of {@link drawLatencyChart}. */
export interface LatencyChartOptions {
  readonly title: string;
  readonly points: readonly LoadPoint[];
  readonly latency: LatencySelector;
}

interface Scale {
  readonly x: (load: number) => number;
  readonly y: (milliseconds: number) => number;
}

const createScale = ({ points, latency }: LatencyChartOptions): Scale => {
  const logs = points.map((point) => Math.log10(Math.max(1, latency(point))));
  const [lowest, highest] = [Math.min(...logs), Math.max(...logs)];
  const span = Math.max(0.1, highest - lowest);
  return {
    x: (load) => MARGIN + load * (WIDTH - 2 * MARGIN),
    y: (milliseconds) =>
      HEIGHT - MARGIN - ((Math.log10(milliseconds) - lowest) / span) * (HEIGHT - 2 * MARGIN),
  };
};

const drawCurve = (policy: string, colour: string, options: LatencyChartOptions): string => {
  const { x, y } = createScale(options);
  const coordinates = options.points
    .filter((point) => point.policy === policy)
    .map((point) => `${x(point.load).toFixed(1)},${y(options.latency(point)).toFixed(1)}`);
  return `<polyline points="${coordinates.join(' ')}" fill="none" stroke="${colour}" stroke-width="2"/>`;
};

const drawAxisLabels = (options: LatencyChartOptions): readonly string[] => {
  const { x, y } = createScale(options);
  const loads = [...new Set(options.points.map(({ load }) => load))];
  const values = options.points.map(options.latency);
  const ends = [Math.min(...values), Math.max(...values)];
  return [
    ...loads.map(
      (load) => `<text x="${x(load)}" y="${HEIGHT - 28}" text-anchor="middle">${load}</text>`,
    ),
    ...ends.map(
      (value) =>
        `<text x="${MARGIN - 6}" y="${y(value)}" text-anchor="end">${(value / MILLISECONDS_PER_SECOND).toFixed(0)} s</text>`,
    ),
  ];
};

/** Draws an SVG chart of each policy's latency by load, on a logarithmic scale. */
export const drawLatencyChart = (options: LatencyChartOptions): string => {
  const curves = POLICIES.map(({ kind }, index) =>
    drawCurve(kind, COLOURS[index] ?? '#000', options),
  );
  const legend = POLICIES.map(
    ({ kind }, index) =>
      `<text x="${MARGIN + 8}" y="${MARGIN + 14 * index}" fill="${COLOURS[index] ?? '#000'}">${kind}</text>`,
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-size="11" font-family="sans-serif">`,
    `<text x="${WIDTH / 2}" y="18" text-anchor="middle">${options.title}</text>`,
    `<rect x="${MARGIN}" y="${MARGIN - 20}" width="${WIDTH - 2 * MARGIN}" height="${HEIGHT - 2 * MARGIN + 20}" fill="none" stroke="#ccc"/>`,
    ...curves,
    ...drawAxisLabels(options),
    ...legend,
    `<text x="${WIDTH / 2}" y="${HEIGHT - 10}" text-anchor="middle">load</text>`,
    '</svg>',
  ].join('\n');
};

import type { LoadPoint } from './experimentReport';
import { POLICIES } from './policies';

const WIDTH = 420;
const HEIGHT = 300;
const MARGIN = 48;
const MILLISECONDS = 1_000;
const COLOURS = ['#b04a3f', '#c58b2a', '#3f6fb0', '#2f8a57'];

/** A curve's figure at one load, in milliseconds. */
export type LatencyOf = (point: LoadPoint) => number;

/** Options of {@link latencyChart}. */
export interface LatencyChartOptions {
  readonly title: string;
  readonly points: readonly LoadPoint[];
  readonly latency: LatencyOf;
}

interface Scale {
  readonly x: (load: number) => number;
  readonly y: (milliseconds: number) => number;
}

const scaleOf = ({ points, latency }: LatencyChartOptions): Scale => {
  const logs = points.map((point) => Math.log10(Math.max(1, latency(point))));
  const [lowest, highest] = [Math.min(...logs), Math.max(...logs)];
  const span = Math.max(0.1, highest - lowest);
  return {
    x: (load) => MARGIN + load * (WIDTH - 2 * MARGIN),
    y: (milliseconds) =>
      HEIGHT - MARGIN - ((Math.log10(milliseconds) - lowest) / span) * (HEIGHT - 2 * MARGIN),
  };
};

const curve = (policy: string, colour: string, options: LatencyChartOptions): string => {
  const { x, y } = scaleOf(options);
  const spots = options.points
    .filter((point) => point.policy === policy)
    .map((point) => `${x(point.load).toFixed(1)},${y(options.latency(point)).toFixed(1)}`);
  return `<polyline points="${spots.join(' ')}" fill="none" stroke="${colour}" stroke-width="2"/>`;
};

const axisLabels = (options: LatencyChartOptions): readonly string[] => {
  const { x, y } = scaleOf(options);
  const loads = [...new Set(options.points.map(({ load }) => load))];
  const values = options.points.map(options.latency);
  const ends = [Math.min(...values), Math.max(...values)];
  return [
    ...loads.map(
      (load) => `<text x="${x(load)}" y="${HEIGHT - 28}" text-anchor="middle">${load}</text>`,
    ),
    ...ends.map(
      (value) =>
        `<text x="${MARGIN - 6}" y="${y(value)}" text-anchor="end">${(value / MILLISECONDS).toFixed(0)} s</text>`,
    ),
  ];
};

/** Draws the latency of each policy by load, on a logarithmic scale, as SVG. */
export const latencyChart = (options: LatencyChartOptions): string => {
  const curves = POLICIES.map(({ kind }, index) => curve(kind, COLOURS[index] ?? '#000', options));
  const legend = POLICIES.map(
    ({ kind }, index) =>
      `<text x="${MARGIN + 8}" y="${MARGIN + 14 * index}" fill="${COLOURS[index] ?? '#000'}">${kind}</text>`,
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-size="11" font-family="sans-serif">`,
    `<text x="${WIDTH / 2}" y="18" text-anchor="middle">${options.title}</text>`,
    `<rect x="${MARGIN}" y="${MARGIN - 20}" width="${WIDTH - 2 * MARGIN}" height="${HEIGHT - 2 * MARGIN + 20}" fill="none" stroke="#ccc"/>`,
    ...curves,
    ...axisLabels(options),
    ...legend,
    `<text x="${WIDTH / 2}" y="${HEIGHT - 10}" text-anchor="middle">load</text>`,
    '</svg>',
  ].join('\n');
};

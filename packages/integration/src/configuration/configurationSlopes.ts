import type { ConfigurationFigures } from './configurationFigures';

const KEYS_PER_STEP = 1_000;

/** Growth of the figures for each 1,000 keys, with the organisations that come with them. */
export type ConfigurationSlopes = Partial<Record<keyof ConfigurationFigures, number>>;

const meanOf = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const slopeOf = (
  points: readonly ConfigurationFigures[],
  name: keyof ConfigurationFigures,
): number => {
  const meanKeys = meanOf(points.map(({ keys }) => keys));
  const mean = meanOf(points.map((point) => point[name]));
  const covariance = points.map((point) => (point.keys - meanKeys) * (point[name] - mean));
  const variance = points.map(({ keys }) => (keys - meanKeys) ** 2);
  return (meanOf(covariance) / meanOf(variance)) * KEYS_PER_STEP;
};

/** Fits a line through each figure by least squares; empty for fewer than two sizes. */
export const configurationSlopes = (
  points: readonly ConfigurationFigures[],
): ConfigurationSlopes => {
  const [first] = points;
  if (!first || points.length < 2) return {};
  const names = Object.keys(first) as (keyof ConfigurationFigures)[];
  return Object.fromEntries(names.map((name) => [name, slopeOf(points, name)]));
};

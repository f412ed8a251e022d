import type { ConfigurationFigures } from './configurationFigures';

const KEYS_PER_STEP = 1_000;

/** Growth of the figures per 1,000 keys, with the number of organisations growing along. */
export type ConfigurationSlopes = Partial<Record<keyof ConfigurationFigures, number>>;

const computeMean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const computeSlope = (
  points: readonly ConfigurationFigures[],
  name: keyof ConfigurationFigures,
): number => {
  const meanKeys = computeMean(points.map(({ keys }) => keys));
  const mean = computeMean(points.map((point) => point[name]));
  const covariance = points.map((point) => (point.keys - meanKeys) * (point[name] - mean));
  const variance = points.map(({ keys }) => (keys - meanKeys) ** 2);
  return (computeMean(covariance) / computeMean(variance)) * KEYS_PER_STEP;
};

/** Fits a line to each figure by least squares; returns an empty object below two sizes. */
export const configurationSlopes = (
  points: readonly ConfigurationFigures[],
): ConfigurationSlopes => {
  const [first] = points;
  if (!first || points.length < 2) return {};
  const names = Object.keys(first) as (keyof ConfigurationFigures)[];
  return Object.fromEntries(names.map((name) => [name, computeSlope(points, name)]));
};

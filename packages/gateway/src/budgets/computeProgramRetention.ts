import type { FleetRoute } from '../configuration/fleetConfiguration';

/** Retention of a route that specifies none. */
const DEFAULT_RETENTION_MILLISECONDS = 60_000;

/** Time that a program's last turn and its repeats may take. */
const LAST_TURN_MILLISECONDS = 30_000;

/**
 * Returns the time after which no program still runs, or returns, that an instance served before and
 * has had no turn of since, in milliseconds.
 */
export const computeProgramRetention = (
  routes: readonly Pick<FleetRoute, 'retentionMilliseconds'>[],
): number => {
  const retentions = routes.map(
    ({ retentionMilliseconds }) => retentionMilliseconds ?? DEFAULT_RETENTION_MILLISECONDS,
  );
  return Math.max(DEFAULT_RETENTION_MILLISECONDS, ...retentions) + LAST_TURN_MILLISECONDS;
};

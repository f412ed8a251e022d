import type { SeededRandom, StandInRoute } from '@limpetnotch/stand-ins';

/** Names of the services: plain calls, and a streaming engine. */
export const PLAIN_SERVICE = 'plain';
export const ENGINE_SERVICE = 'engine';

/** A route of the soak. */
export interface SoakRoute extends StandInRoute {
  /** Whether requests are turns of programs. */
  readonly isTurn: boolean;
}

const createRoute = (name: string, change: Partial<SoakRoute>): SoakRoute => ({
  name,
  kind: 'safe',
  service: PLAIN_SERVICE,
  isResumable: false,
  maximumTargets: 1,
  timeoutMilliseconds: 3_000,
  isTurn: false,
  ...change,
});

const createStreamRoute = (name: string, change: Partial<SoakRoute>): SoakRoute =>
  createRoute(name, {
    kind: 'stream',
    service: ENGINE_SERVICE,
    isResumable: true,
    timeoutMilliseconds: 6_000,
    ...change,
  });

/** Routes of every kind that the platform supports, with one and with two targets. */
export const SOAK_ROUTES: readonly SoakRoute[] = [
  createRoute('safe', {}),
  createRoute('safe-twice', { maximumTargets: 2, timeoutMilliseconds: 5_000 }),
  createRoute('unsafe', { kind: 'unsafe' }),
  createRoute('unsafe-twice', { kind: 'unsafe', maximumTargets: 2 }),
  createStreamRoute('stream', {}),
  createStreamRoute('stream-twice', { maximumTargets: 2 }),
  createStreamRoute('stream-once', { isResumable: false }),
  createStreamRoute('turn', { isTurn: true }),
  createStreamRoute('turn-twice', { isTurn: true, maximumTargets: 2 }),
];

/** Creates the route that a configuration version adds. */
export const createAddedRoute = (version: number): SoakRoute => createRoute(`added-${version}`, {});

/** Draws the work in a request's path: `STEPSxMILLISECONDS`, the latter for each step. */
export const drawWork = (random: SeededRandom, { kind }: SoakRoute): string => {
  if (kind !== 'stream') return `1x${random.integer(5, 150)}`;
  return `${random.integer(1, 25)}x${random.integer(5, 60)}`;
};

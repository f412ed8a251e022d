import type { SeededRandom, StandInRoute } from '@limpetnotch/stand-ins';

/** Two services: plain calls, and an engine that streams. */
export const PLAIN_SERVICE = 'plain';
export const ENGINE_SERVICE = 'engine';

/** Route of the soak, with the work that its requests ask for. */
export interface SoakRoute extends StandInRoute {
  /** Whether requests are turns of programs. */
  readonly isTurn: boolean;
}

const route = (name: string, change: Partial<SoakRoute>): SoakRoute => ({
  name,
  kind: 'safe',
  service: PLAIN_SERVICE,
  isResumable: false,
  maximumTargets: 1,
  timeoutMilliseconds: 3_000,
  isTurn: false,
  ...change,
});

const stream = (name: string, change: Partial<SoakRoute>): SoakRoute =>
  route(name, {
    kind: 'stream',
    service: ENGINE_SERVICE,
    isResumable: true,
    timeoutMilliseconds: 6_000,
    ...change,
  });

/** Routes of every kind that the platform knows, with one and with two targets. */
export const SOAK_ROUTES: readonly SoakRoute[] = [
  route('safe', {}),
  route('safe-twice', { maximumTargets: 2, timeoutMilliseconds: 5_000 }),
  route('unsafe', { kind: 'unsafe' }),
  route('unsafe-twice', { kind: 'unsafe', maximumTargets: 2 }),
  stream('stream', {}),
  stream('stream-twice', { maximumTargets: 2 }),
  stream('stream-once', { isResumable: false }),
  stream('turn', { isTurn: true }),
  stream('turn-twice', { isTurn: true, maximumTargets: 2 }),
];

/** A route that a later version of the configuration adds. */
export const addedRoute = (version: number): SoakRoute => route(`added-${version}`, {});

/** Draws the work of a request: its steps and the milliseconds of each, as its path names them. */
export const drawWork = (random: SeededRandom, { kind }: SoakRoute): string => {
  if (kind !== 'stream') return `1x${random.integer(5, 150)}`;
  return `${random.integer(1, 25)}x${random.integer(5, 60)}`;
};

import type { FleetRoute } from '../../src/configuration/fleetConfiguration';

/** Returns a route whose callers carry the context, with the given fields replaced. */
export const fleetRoute = (change: Partial<FleetRoute>): FleetRoute => ({
  name: 'r',
  host: 'h',
  pathPrefix: '/',
  execution: { kind: 'idempotent' },
  context: { kind: 'carried' },
  destinations: [{ service: 's', weight: 1 }],
  timeoutMilliseconds: 2_000,
  latencyObjectiveMilliseconds: 200,
  priority: 0,
  maximumTargets: 2,
  isOpenToAll: true,
  hasSessionAffinity: false,
  ...change,
});

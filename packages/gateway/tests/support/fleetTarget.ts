import type { FleetTarget } from '../../src/targets/fleetTarget';

/** Returns a serving target, with the given fields replaced. */
export const fleetTarget = (change: Partial<FleetTarget>): FleetTarget => ({
  id: '1',
  service: 's',
  address: '127.0.0.1:9000',
  availabilityZone: 'a',
  slots: 4,
  state: 'serving',
  version: 'v1',
  ...change,
});

import type { FleetTarget } from '../../src/targets/fleetTarget';

/** Returns a target that serves, with what a test changes of it. */
export const fleetTarget = (change: Partial<FleetTarget>): FleetTarget => ({
  id: '1',
  service: 's',
  address: '127.0.0.1:9000',
  availabilityZone: 'a',
  slots: 4,
  state: 'serving',
  ...change,
});

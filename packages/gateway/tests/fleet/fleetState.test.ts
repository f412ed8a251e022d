import type { FleetConfiguration } from '../../src/configuration/fleetConfiguration';
import { admitCall } from '../../src/calls/admitCall';
import { FleetState } from '../../src/fleet/fleetState';
import { callEnvelope } from '../support/callEnvelope';
import { fleetRoute } from '../support/fleetRoute';

const configuration = (version: number, keys: readonly string[]): FleetConfiguration => ({
  version,
  routes: [fleetRoute({ isOpenToAll: false })],
  services: [{ name: 's', connectionLimit: 8 }],
  limits: {
    headerBytes: 8_192,
    bodyBytes: 8_192,
    headerTimeoutMilliseconds: 1_000,
    idleTimeoutMilliseconds: 1_000,
  },
  organisations: [{ name: 'north', keys: [...keys], priority: 0 }],
});

const request = callEnvelope({ key: 'k1' });

test('a version that is not newer is ignored', () => {
  const fleet = new FleetState();
  expect(fleet.apply(configuration(2, ['k1']))).toBe(true);
  expect(fleet.apply(configuration(2, []))).toBe(false);
  expect(fleet.apply(configuration(1, []))).toBe(false);
  expect(fleet.index?.configuration.version).toBe(2);
});

test('a withdrawn key is refused from the next request on', () => {
  const fleet = new FleetState();
  fleet.apply(configuration(1, ['k1']));
  expect(admitCall(fleet, request).kind).toBe('admitted');
  fleet.apply(configuration(2, ['k2']));
  expect(admitCall(fleet, request)).toMatchObject({ refusal: { kind: 'unknown-key' } });
});

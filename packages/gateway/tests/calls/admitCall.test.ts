import { admitCall } from '../../src/calls/admitCall';
import type { CallEnvelope } from '../../src/calls/callEnvelope';
import { FleetState } from '../../src/fleet/fleetState';
import { callEnvelope } from '../support/callEnvelope';
import { fleetRoute } from '../support/fleetRoute';

const createEnvelope = (change: Partial<CallEnvelope>): CallEnvelope =>
  callEnvelope({
    host: 'amman.example',
    pathAndQuery: '/turns/1?trace=1',
    key: 'known-key',
    ...change,
  });

const createConfiguredFleet = (): FleetState => {
  const fleet = new FleetState();
  fleet.apply({
    version: 1,
    routes: [fleetRoute({ host: 'amman.example', pathPrefix: '/turns/', isOpenToAll: false })],
    services: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMilliseconds: 1,
      idleTimeoutMilliseconds: 1,
    },
    organisations: [{ name: 'amman', keys: ['known-key'], priority: 0 }],
  });
  return fleet;
};

test('a known route and key are admitted', () => {
  const admission = admitCall(createConfiguredFleet(), createEnvelope({}));
  expect(admission).toMatchObject({ kind: 'admitted', organisation: { name: 'amman' } });
});

test.each([
  ['unknown-key', { key: 'other-key' }],
  ['unknown-route', { pathAndQuery: '/other/' }],
])('%s is final while the store is reachable', (kind, change) => {
  const admission = admitCall(createConfiguredFleet(), createEnvelope(change));
  expect(admission).toMatchObject({ kind: 'refused', refusal: { kind } });
});

test.each([
  ['unknown-key', { key: 'other-key' }],
  ['unknown-route', { pathAndQuery: '/other/' }],
])(
  '%s is retryable while the store is unreachable, as other instances may know it',
  (_kind, change) => {
    const fleet = createConfiguredFleet();
    fleet.isConfigurationUnconfirmed = true;
    const admission = admitCall(fleet, createEnvelope(change));
    expect(admission).toMatchObject({ kind: 'refused', refusal: { kind: 'unavailable' } });
    expect(admitCall(fleet, createEnvelope({})).kind).toBe('admitted');
  },
);

test('callers are told to retry while there is no configuration', () => {
  expect(admitCall(new FleetState(), createEnvelope({}))).toMatchObject({
    refusal: { kind: 'unavailable', reason: 'no configuration' },
  });
});

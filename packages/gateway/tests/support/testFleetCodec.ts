import type { FleetCodec } from '../../src/fleet/fleetCodec';

/** Decodes no configuration, and each entry under `servers/` as a serving target. */
export const testFleetCodec: FleetCodec = {
  operatorPrefix: 'op/',
  targetPrefix: 'servers/',
  decodeOperatorEntry: () => ({ kind: 'other' }),
  decodeTarget: ({ key, value }) => ({
    kind: 'target',
    target: {
      id: key,
      address: '127.0.0.1:1',
      service: 's',
      availabilityZone: 'a',
      slots: 8,
      state: value === 'leaving' ? 'leaving' : 'serving',
    },
  }),
  targetIdOf: (key) => key,
  decodeEvacuatedZone: () => undefined,
  encodeRetired: () => ({ key: '', value: '' }),
};

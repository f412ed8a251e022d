import type { GatewaySettings } from '../../src/gatewaySettings';

/** Limits and bounds of the platform, as for the smallest instances. */
export const platformLimits: Pick<
  GatewaySettings,
  'memoryBytes' | 'fileDescriptors' | 'regions' | 'toleratedLosses' | 'bounds'
> = {
  memoryBytes: 186_000_000,
  fileDescriptors: 2_048,
  regions: {},
  toleratedLosses: { instances: 1, availabilityZones: 0 },
  bounds: {
    applyMilliseconds: 2_000,
    drainMilliseconds: 2_000,
    evacuationMilliseconds: 5_000,
    catchUpMilliseconds: 4_000,
    coldOverage: 1.5,
    coldSlack: 5,
  },
};

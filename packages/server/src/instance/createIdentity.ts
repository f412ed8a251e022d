import { randomUUID } from 'node:crypto';
import type { Member } from '@limpetnotch/partitions';
import type { Settings } from '../settings';

/** Creates the member record of this incarnation of the instance. */
export const createIdentity = (settings: Settings): Member => ({
  instance: settings.instance,
  incarnation: randomUUID(),
  peerAddress: `${settings.peerHost}:${settings.peerPort}`,
  availabilityZone: settings.availabilityZone,
  leaving: false,
});

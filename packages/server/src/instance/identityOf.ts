import { randomUUID } from 'node:crypto';
import type { Member } from '@limpetnotch/partitions';
import type { Settings } from '../settings';

/** Describes this start of the instance to the others. */
export const identityOf = (settings: Settings): Member => ({
  instance: settings.instance,
  incarnation: randomUUID(),
  peerAddress: `${settings.peerHost}:${settings.peerPort}`,
  availabilityZone: settings.availabilityZone,
  leaving: false,
});

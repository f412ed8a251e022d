import type { FleetTarget } from './fleetTarget';

/** Returns a key for one incarnation of a target, since a restarted target may reuse its id. */
export const getIncarnationKey = ({ id, address, bornMilliseconds }: FleetTarget): string =>
  `${id}@${bornMilliseconds ?? address}`;

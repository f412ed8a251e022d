import type { FleetTarget } from './fleetTarget';

/** Names one start of a target, as a target may start again under its id. */
export const getIncarnationKey = ({ id, address, bornMilliseconds }: FleetTarget): string =>
  `${id}@${bornMilliseconds ?? address}`;

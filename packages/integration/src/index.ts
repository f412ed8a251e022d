export { Fleet } from './fleet/fleet';
export type { FleetOptions, InstancePorts } from './fleet/fleet';
export { computeKeyDigest, LocalFleet, OPERATOR_TOKEN } from './fleet/localFleet';
export type { LocalFleetOptions, LocalInstance } from './fleet/localFleet';
export { ManagedProcess } from './fleet/managedProcess';
export { waitUntil } from './fleet/waitUntil';

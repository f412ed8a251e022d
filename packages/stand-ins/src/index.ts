export { StoreStandIn } from './store/storeStandIn';
export type { StoreStandInOptions } from './store/storeStandIn';
export type { StoreFaults, StoreFaultsChange } from './store/storeFaults';
export type { StoreStatistics } from './store/storeStatistics';
export { StandInServer } from './util/standInServer';

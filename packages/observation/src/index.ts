export type { RankNames } from './decisions/chooseReaders';
export type { ObservationMode } from './decisions/decideMode';
export type { ObservingInstance } from './decisions/observingInstance';
export type { KnownPrefix, PrefixUpdate, RelayMessage } from './relayMessage';
export type { RelaySource } from './relaySource';
export { SharedObservation } from './sharedObservation';
export type {
  ObservationOptions,
  ObservingFleet,
  SharedObservationParts,
} from './sharedObservation';
export type { StoreChange } from './storeChange';

import type { StoreCallKind } from './gateway/storeCallKind';
import type { StoreError } from './storeError';

/** How a call to the store ended, as spans and counters name it. */
export type StoreCallOutcome = 'answered' | StoreError['kind'];

/** Sees every call to the store, to count or trace it. */
export interface StoreObserver {
  /** Called before a call is sent; the returned function is called once when it ends. */
  callStarted(kind: StoreCallKind): (outcome: StoreCallOutcome) => void;
}

import type { StoreCallKind } from './gateway/storeCallKind';
import type { StoreError } from './storeError';

/** Outcome of a call to the store, used in spans and counters. */
export type StoreCallOutcome = 'answered' | StoreError['kind'];

/** Observes every call to the store, for metrics or tracing. */
export interface StoreObserver {
  /** Called before a request is sent; the returned function is called once, when the call ends. */
  callStarted(kind: StoreCallKind): (outcome: StoreCallOutcome) => void;
}

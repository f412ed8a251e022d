import type { LedgerHolding } from '@limpetnotch/overload';

/** Why a request is refused before it is complete. */
export type UnfinishedReason = 'overloaded' | 'too-slow';

/** Memory of a request and the way to refuse it while it has not run. */
export interface UnfinishedRequest {
  readonly holding: LedgerHolding;
  /** Records bytes of the body that were received, whether they are kept or not. */
  readonly recordReceived: (bytes: number) => void;
  /** Refuses the request; replaced by the one who reads the body, as it knows the caller. */
  refuse: (reason: UnfinishedReason) => void;
}

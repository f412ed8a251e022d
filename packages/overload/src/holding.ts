import type { HoldingKind } from './holdingKind';

/** Memory that is held for one connection, request or cache. */
export interface Holding {
  readonly kind: HoldingKind;
  /** Organisation or address that it is held for. */
  readonly source: string;
  /** Rises with each holding, so that a later one has a higher number. */
  readonly sequence: number;
  /** Whether it belongs to a request that is running, which is never ended. */
  readonly isRunning: boolean;
  readonly bytes: number;
}

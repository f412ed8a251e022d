import type { HoldingKind } from './holdingKind';

/** Bounds on the memory that is held, in bytes. */
export interface MemoryBounds {
  readonly totalBytes: number;
  readonly kindBytes: Readonly<Record<HoldingKind, number>>;
  /** Of stoppable holdings of one source, while holdings of other sources have to be stopped. */
  readonly sourceBytes: number;
}

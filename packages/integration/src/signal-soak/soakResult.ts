import type { Lifetime } from './lifetime';
import type { SoakExchange } from './soakExchange';
import type { PlannedFault } from './soakFault';
import type { Violation } from './violation';

/** Faults and observations of a soak. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  readonly exchanges: readonly SoakExchange[];
  readonly lifetimes: readonly Lifetime[];
  readonly violations: readonly Violation[];
  /** Longest event loop lag of the soak process. */
  readonly longestLagMilliseconds: number;
  /** Total event loop lag; checks of times skip these spans. */
  readonly lagMilliseconds: number;
  readonly getOutput: (lifetime: Lifetime) => string;
}

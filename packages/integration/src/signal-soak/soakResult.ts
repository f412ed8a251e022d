import type { Lifetime } from './lifetime';
import type { SoakExchange } from './soakExchange';
import type { PlannedFault } from './soakFault';
import type { Violation } from './violation';

/** What a soak did and saw. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: readonly PlannedFault[];
  readonly exchanges: readonly SoakExchange[];
  readonly lifetimes: readonly Lifetime[];
  readonly violations: readonly Violation[];
  /** How late the soak itself was at most. */
  readonly longestLagMilliseconds: number;
  /** How long it was late in all; checks of times leave these spans out. */
  readonly lagMilliseconds: number;
  readonly outputOf: (lifetime: Lifetime) => string;
}

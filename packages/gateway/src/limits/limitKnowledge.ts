import type { FleetTarget } from '../targets/fleetTarget';
import type { LimitChange, TargetLimitState } from './targetLimitState';

type Limited = Extract<TargetLimitState, { kind: 'limited' }>;

/** What an instance knows about the limits of targets, by the keys under which tokens are held. */
export interface LimitKnowledge {
  /** Whether any limit is in force. */
  readonly isAnyLimited: boolean;
  /** Limits in force. */
  readonly limited: ReadonlyMap<string, Limited>;
  keyOf(target: FleetTarget): string;
  /** Whether a target itself names a limit. */
  isNamedBy(target: FleetTarget): boolean;
  get(key: string): TargetLimitState | undefined;
  getLimit(key: string): Limited | undefined;
  /** Applies what another instance knows. */
  merge(key: string, state: TargetLimitState): void;
  /** Considers what another instance knows that requests tokens; returns what applies. */
  mergeRequested(key: string, state: TargetLimitState): TargetLimitState | undefined;
  onChange(listener: (change: LimitChange) => void): void;
}

import type { ConnectionCheck } from '../targets/connectionCheck';
import type { FleetTarget } from '../targets/fleetTarget';

/** Access to the other instances for checks of paths. */
export interface PathPeers {
  /** Names of the instances that are present. */
  readonly names: readonly string[];
  /** Returns whether an instance reaches a target; undefined if the instance doesn't respond. */
  checkTarget(name: string, target: FleetTarget): Promise<ConnectionCheck | undefined>;
}

import type { FleetTarget } from '../targets/fleetTarget';
import type { TargetDirectory } from '../targets/targetDirectory';
import type { ForwardedTarget } from './forwardedRequest';

/** Returns the incarnation of a target that another instance names; undefined if it is unknown. */
export const findKnownTarget = (
  directory: TargetDirectory,
  named: ForwardedTarget | undefined,
): FleetTarget | undefined => {
  const known = named && directory.get(named.id);
  if (!known) return undefined;
  const isSame =
    known.service === named.service &&
    known.bornMilliseconds === named.bornMilliseconds &&
    known.version === named.version;
  return isSame ? known : undefined;
};

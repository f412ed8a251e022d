import type { Logger, Metrics } from '@limpetnotch/observability';
import type { CallRunnerParts } from '../../src/calls/callRunner';
import type { TargetLoads } from '../../src/targets/targetLoads';
import type { FleetState } from '../../src/fleet/fleetState';
import { FleetLimits } from '../../src/limits/fleetLimits';
import { LimitedDispatch } from '../../src/limits/limitedDispatch';
import { platformLimits } from './platformLimits';

/** Creates the limits of an instance that is alone in its fleet. */
export const singleInstanceLimits = (parts: {
  readonly fleet: FleetState;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly loads: TargetLoads;
}): Pick<CallRunnerParts, 'limits' | 'limitedDispatch'> => {
  const limits = new FleetLimits({
    ...parts,
    bounds: platformLimits.bounds,
    peers: {
      names: [],
      takeTargetTokens: async () => undefined,
      announceLimits: async () => undefined,
      listLimits: async () => undefined,
    },
    membership: {
      instance: 'i0',
      memberLists: [['i0']],
      membersRevision: 1,
      isConfirmed: true,
      noteRevision: () => undefined,
    },
  });
  const limitedDispatch = new LimitedDispatch({
    ...parts,
    gate: limits.gate,
    loads: parts.loads,
    instanceCount: () => 1,
  });
  return { limits: limits.named, limitedDispatch };
};

import type { Logger, Metrics } from '@limpetnotch/observability';
import type { CallRunnerParts } from '../../src/calls/callRunner';
import type { TargetLoads } from '../../src/targets/targetLoads';
import { TargetLimits } from '../../src/limits/targetLimits';
import { LimitedDispatch } from '../../src/limits/limitedDispatch';
import { LimitGate } from '../../src/limits/limitGate';

/** Creates the limits of an instance that is alone in its fleet. */
export const singleInstanceLimits = (parts: {
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly loads: TargetLoads;
}): Pick<CallRunnerParts, 'limits' | 'limitedDispatch'> => {
  const limits = new TargetLimits(parts);
  const limitGate = new LimitGate({
    limits,
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
    gate: limitGate,
    loads: parts.loads,
    instanceCount: () => 1,
  });
  return { limits, limitedDispatch };
};

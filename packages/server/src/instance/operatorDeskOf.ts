import type { Configuration } from '@limpetnotch/declarations';
import { PARTITION_COUNT } from '@limpetnotch/partitions';
import type { PartitionManager } from '@limpetnotch/partitions';
import type { Scheduler } from '@limpetnotch/scheduling';
import type { InstanceStatus, OperatorDesk } from '../http/operatorDesk';
import type { Readiness } from '../http/readiness';
import type { Settings } from '../settings';

/** What the operators' requests are answered from. */
export interface OperatorDeskOptions {
  readonly settings: Settings;
  readonly partitions: PartitionManager;
  readonly scheduler: Scheduler;
  readonly readiness: Readiness;
  readonly configuration: () => Configuration;
  readonly callsUnderWay: () => number;
}

const statusOf = (options: OperatorDeskOptions): InstanceStatus => {
  const { settings, partitions, readiness, configuration, callsUnderWay } = options;
  const state = readiness.state();
  return {
    instance: settings.instance,
    availabilityZone: settings.availabilityZone,
    ready: state.kind === 'ready',
    readiness: state.kind === 'ready' ? 'ready' : state.reason,
    revision: configuration().revision,
    partitions: Array.from({ length: PARTITION_COUNT }, (_, partition) => partition).filter(
      (partition) => partitions.stateOf(partition) !== undefined,
    ),
    members: partitions.membership.members().map(({ instance }) => instance),
    callsUnderWay: callsUnderWay(),
    storeReachable: partitions.membership.isStoreReachable(),
  };
};

/** Builds what answers the operators' requests. */
export const operatorDeskOf = (options: OperatorDeskOptions): OperatorDesk => ({
  operatorToken: () => options.settings.operatorToken,
  status: () => statusOf(options),
  quarantine: () => options.scheduler.listQuarantine(),
  lift: (requestDigest) => options.scheduler.liftQuarantine(requestDigest),
});

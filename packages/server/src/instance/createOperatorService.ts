import type { Configuration } from '@limpetnotch/declarations';
import { PARTITION_COUNT } from '@limpetnotch/partitions';
import type { PartitionManager } from '@limpetnotch/partitions';
import type { Scheduler } from '@limpetnotch/scheduling';
import type { InstanceStatus, OperatorService } from '../http/operatorService';
import type { Readiness } from '../http/readiness';
import type { Settings } from '../settings';

/** Components that provide the data of operator requests. */
export interface OperatorServiceOptions {
  readonly settings: Settings;
  readonly partitions: PartitionManager;
  readonly scheduler: Scheduler;
  readonly readiness: Readiness;
  readonly getConfiguration: () => Configuration;
  readonly countActiveCalls: () => number;
}

const getStatus = (options: OperatorServiceOptions): InstanceStatus => {
  const { settings, partitions, readiness, getConfiguration, countActiveCalls } = options;
  const state = readiness.state();
  return {
    instance: settings.instance,
    availabilityZone: settings.availabilityZone,
    ready: state.kind === 'ready',
    readiness: state.kind === 'ready' ? 'ready' : state.reason,
    revision: getConfiguration().revision,
    partitions: Array.from({ length: PARTITION_COUNT }, (_, partition) => partition).filter(
      (partition) => partitions.stateOf(partition) !== undefined,
    ),
    members: partitions.membership.members().map(({ instance }) => instance),
    callsUnderWay: countActiveCalls(),
    storeReachable: partitions.membership.isStoreReachable(),
  };
};

/** Creates the service behind the operator requests. */
export const createOperatorService = (options: OperatorServiceOptions): OperatorService => ({
  getOperatorToken: () => options.settings.operatorToken,
  getStatus: () => getStatus(options),
  listQuarantine: () => options.scheduler.listQuarantine(),
  liftQuarantine: (requestDigest) => options.scheduler.liftQuarantine(requestDigest),
});

import { MemoryMetrics, silentLogger } from '@limpetnotch/observability';
import { FleetPeers } from '../../src/peers/fleetPeers';
import { WorkCounts } from '../../src/work/workCounts';

/** Creates clients of peers that log nothing. */
export const createFleetPeers = (): FleetPeers => {
  const metrics = new MemoryMetrics();
  return new FleetPeers({ logger: silentLogger, metrics, counts: new WorkCounts(metrics) });
};

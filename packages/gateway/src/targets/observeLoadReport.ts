import type { Metrics } from '@limpetnotch/observability';
import type { LoadReport } from '../calls/wireCodec';
import type { TargetLoads } from './targetLoads';

/** Records the load that a response reports; counts a report that is missing or invalid. */
export const observeLoadReport = (
  { loads, metrics }: { readonly loads: TargetLoads; readonly metrics: Metrics },
  target: { readonly id: string },
  report: LoadReport,
): void => {
  if (report.kind === 'reported') loads.recordReport(target.id, report);
  else metrics.increment('targets.ignored-load-reports', 1, { kind: report.kind });
};

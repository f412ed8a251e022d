import { MemoryMetrics } from '@limpetnotch/observability';
import type { LoadReport } from '../../src/calls/wireCodec';
import { observeLoadReport } from '../../src/targets/observeLoadReport';
import { TargetLoads } from '../../src/targets/targetLoads';

const REPORT: LoadReport = {
  kind: 'reported',
  running: 4,
  waiting: 1,
  slots: 16,
  durationPercent: undefined,
};

test.each<LoadReport>([
  { kind: 'missing' },
  { kind: 'malformed', text: '-1,0,16' },
  { kind: 'excessive', text: '9999999,0,16' },
])('a load report that is %j changes nothing and is counted', (report) => {
  const parts = { loads: new TargetLoads(), metrics: new MemoryMetrics() };
  observeLoadReport(parts, { id: '1' }, REPORT);
  observeLoadReport(parts, { id: '1' }, report);
  expect(parts.loads.countInFlight('1')).toBe(5);
  expect(parts.metrics.counter('targets.ignored-load-reports', { kind: report.kind })).toBe(1);
});

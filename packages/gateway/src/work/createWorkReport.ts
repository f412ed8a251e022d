import type { Logger } from '@limpetnotch/observability';
import type { ChildSpecification } from '@limpetnotch/supervision';
import { delay, readOwnProcessorMilliseconds } from '@limpetnotch/supervision';
import type { WorkCounts } from './workCounts';

const REPORT_MILLISECONDS = 10_000;

/** Options of {@link createWorkReport}. */
export interface WorkReportOptions {
  readonly counts: WorkCounts;
  readonly logger: Logger;
  /** Returns the processor time that this process has used, in milliseconds. */
  readonly readProcessorMilliseconds?: () => number;
}

/**
 * Creates the task that logs the processor time of this process since the last line, from its start,
 * and the calls that it made meanwhile.
 */
export const createWorkReport = ({
  counts,
  logger,
  readProcessorMilliseconds = readOwnProcessorMilliseconds,
}: WorkReportOptions): ChildSpecification => {
  let reportedMilliseconds = 0;
  return {
    name: 'work-report',
    restart: 'always',
    run: async ({ signal, ready }) => {
      ready();
      while (!signal.aborted) {
        await delay(REPORT_MILLISECONDS, signal);
        const usedMilliseconds = readProcessorMilliseconds();
        logger.info('work.done', {
          processorMilliseconds: Math.round(usedMilliseconds - reportedMilliseconds),
          ...counts.takeCounts(),
        });
        reportedMilliseconds = usedMilliseconds;
      }
    },
  };
};

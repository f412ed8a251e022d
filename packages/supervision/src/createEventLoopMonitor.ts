import type { Logger, Metrics } from '@limpetnotch/observability';
import type { ChildSpecification } from './childSpecification';
import { delay } from './delay';
import { readOwnProcessorMilliseconds } from './readOwnProcessorMilliseconds';

/** Interval between two checks of the event loop. */
const CHECK_MILLISECONDS = 250;

/** Shorter stalls are left out: callers are not affected by them, and timers are never exact. */
const MINIMUM_STALL_MILLISECONDS = 100;

/** Share of a stall that the process must have computed for, to count as busy. */
const BUSY_SHARE = 0.5;

/** Options of {@link createEventLoopMonitor}. */
export interface EventLoopMonitorOptions {
  readonly logger: Logger;
  readonly metrics: Metrics;
  /** Returns the processor time that this process has used, in milliseconds. */
  readonly readProcessorMilliseconds?: () => number;
}

/** Why the event loop did not run: its own work, or the process itself did not run. */
type StallCause = 'busy' | 'paused';

const toCause = (stallMilliseconds: number, processorMilliseconds: number): StallCause =>
  processorMilliseconds >= BUSY_SHARE * stallMilliseconds ? 'busy' : 'paused';

/**
 * Creates the task that logs and measures each stall of the event loop: a time in which the process
 * neither read nor answered any request. The processor time tells work that was too long for one
 * turn of the loop from a process that was suspended or got no processor.
 */
export const createEventLoopMonitor = ({
  logger,
  metrics,
  readProcessorMilliseconds = readOwnProcessorMilliseconds,
}: EventLoopMonitorOptions): ChildSpecification => ({
  name: 'event-loop-monitor',
  restart: 'always',
  run: async ({ signal, ready }) => {
    ready();
    while (!signal.aborted) {
      const startedAtMilliseconds = performance.now();
      const processorBefore = readProcessorMilliseconds();
      await delay(CHECK_MILLISECONDS, signal);
      const stall = performance.now() - startedAtMilliseconds - CHECK_MILLISECONDS;
      if (stall >= MINIMUM_STALL_MILLISECONDS) {
        const processorMilliseconds = readProcessorMilliseconds() - processorBefore;
        const cause = toCause(stall, processorMilliseconds);
        metrics.distribution('event-loop.stall', stall, { cause });
        logger.warn('event-loop.stalled', {
          milliseconds: Math.round(stall),
          processorMilliseconds: Math.round(processorMilliseconds),
          cause,
        });
      }
    }
  },
});

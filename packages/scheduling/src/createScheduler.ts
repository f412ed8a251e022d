import type { Logger, Metrics } from '@limpetnotch/observability';
import { CallScheduler } from './callScheduler';
import type { Scheduler } from './scheduler';
import type { SchedulerSettings } from './schedulerSettings';
import type { SchedulingPolicy } from './schedulingPolicy';

/** Options of {@link createScheduler}. */
export interface SchedulerOptions {
  /** Name of this instance, by which its share of the windows is found. */
  readonly instance: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: SchedulerSettings;
  readonly policy: SchedulingPolicy;
}

/** Creates the scheduler of an instance; it has no target before a configuration is applied. */
export const createScheduler = (options: SchedulerOptions): Scheduler => new CallScheduler(options);

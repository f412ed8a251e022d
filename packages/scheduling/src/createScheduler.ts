import type { Logger, Metrics } from '@limpetnotch/observability';
import { CallScheduler } from './callScheduler';
import type { Scheduler } from './scheduler';
import type { SchedulerSettings } from './schedulerSettings';
import type { SchedulingPolicy } from './schedulingPolicy';

/** Options of {@link createScheduler}. */
export interface SchedulerOptions {
  /** Name of this instance, which determines its share of each target's window. */
  readonly instance: string;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly settings: SchedulerSettings;
  readonly policy: SchedulingPolicy;
}

/** Creates the scheduler of an instance; it has no targets until a configuration is applied. */
export const createScheduler = (options: SchedulerOptions): Scheduler => new CallScheduler(options);

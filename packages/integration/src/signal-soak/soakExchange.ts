import type { CallerRecord, TargetRun } from '@limpetnotch/stand-ins';
import type { Lifetime } from './lifetime';
import type { SoakRoute } from './soakRoutes';

/** A request as observed by its caller and the targets. */
export interface SoakExchange {
  readonly record: CallerRecord;
  readonly route: SoakRoute;
  /** Number of events in a complete stream. */
  readonly steps: number;
  /** Deadline that the caller set. */
  readonly deadlineMilliseconds: number;
  /** The process that accepted the connection. */
  readonly lifetime: Lifetime;
  readonly runs: TargetRun[];
}
